package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LedgerSettle
import org.arbutusrelay.schema.message.StoredResponse

/** What a caller is told; [body] is set when the response is complete. */
internal data class Answer(val outcome: String, val attempt: Attempt, val body: String? = null)

/** An entry host that follows the request path of the design, and crashes at any step. */
internal class FakeEntryHost(
    private val name: String,
    private val time: VirtualTime,
    private val world: LedgerWorld,
    private val faults: LedgerFaults,
) {
    var epoch = time.random.nextLong(Long.MAX_VALUE)
        private set
    val homes = HashMap<String, String>()
    private var isUp = true
    private var nextNumber = 0L

    fun accept(key: LedgerKey, digest: String, answer: (Answer) -> Unit) {
        if (!isUp) return
        Run(key, digest, Attempt(name, epoch, nextNumber++), answer).start()
    }

    private fun crash(step: String) {
        time.count("host crash at $step")
        time.log("$name crash at $step")
        if (world.isLedgerDown()) time.count("host crash while a ledger has no leader")
        val oldEpoch = epoch
        isUp = false
        time.after(time.random.nextLong(200, 5_000)) {
            epoch = time.random.nextLong(Long.MAX_VALUE)
            isUp = true
            time.after(time.random.nextLong(1, 2_000)) { world.onReplaced(name, oldEpoch) }
        }
    }

    private inner class Run(
        private val key: LedgerKey,
        private val digest: String,
        private val attempt: Attempt,
        private val answer: (Answer) -> Unit,
    ) {
        private val region = homes.getValue(key.caller)
        private var isDecided = false
        private val isAlive: Boolean get() = isUp && epoch == attempt.epoch

        fun start() = step("accept") {
            val grant = LedgerGrant(key, attempt, digest, WAIT_MS, key.service)
            request(LedgerRequest(0, region, grant = grant), { isDecided }, onReply = ::onGrantReply)
            time.after(GRANT_TIMEOUT_MS) { if (isAlive && !isDecided) onTimeout() }
            step("grant request") {}
        }

        private fun onTimeout() {
            time.count("grant timed out")
            withdraw()
            if (faults.sendsAfterTimeout) world.backend(key, digest, attempt) {}
        }

        private fun withdraw() {
            isDecided = true
            request(LedgerRequest(0, region, release = LedgerRelease(key, attempt))) {
                if (it.decision == Decision.RELEASED) world.ledger(region).releaseAcknowledged += attempt
            }
            step("release") { tell("not_run") }
        }

        private fun onGrantReply(reply: LedgerReply) {
            if (isDecided) return
            when (reply.decision) {
                Decision.GRANTED -> send()
                Decision.FINISHED -> tellStored(reply.response)
                Decision.UNKNOWN -> end("unknown")
                Decision.BODY_MISMATCH -> end("mismatch")
                Decision.IN_PROGRESS -> withdraw()
                Decision.RELEASED, Decision.FENCED -> withdraw()
                else -> Unit
            }
        }

        private fun send() {
            isDecided = true
            step("granted") { world.backend(key, digest, attempt, ::onRun) }
            if (isAlive) step("sent") {}
        }

        private fun onRun(result: RunResult) = step("run") {
            when (result) {
                is RunResult.Refused -> withdraw()
                is RunResult.Broken -> onBroken()
                is RunResult.Ran -> finish(result.body)
            }
        }

        private fun onBroken() {
            val request =
                if (faults.releasesBrokenRun) {
                    LedgerRequest(0, region, release = LedgerRelease(key, attempt))
                } else {
                    LedgerRequest(0, region, settle = LedgerSettle(key, attempt))
                }
            request(request)
            tell("unknown")
        }

        private fun finish(body: String) {
            var isTold = false
            val deliver = { if (!isTold) step("deliver") { isTold = true.also { tell("ran", body) } } }
            val response = StoredResponse(200, "text/plain", body.toByteArray())
            val finish = LedgerRequest(0, region, finish = LedgerFinish(key, attempt, response))
            request(finish, onEnd = { if (it == Decision.FINISHED) world.stored[key] = body }) { deliver() }
            step("finish") { time.after(FINISH_TIMEOUT_MS) { if (isAlive) deliver() } }
        }

        /** Tells no body when the response may not leave the former home region. */
        private fun tellStored(response: StoredResponse?) {
            isDecided = true
            time.count(if (response == null) "stored response held elsewhere" else "stored response used")
            tell("ran", response?.body?.decodeToString())
        }

        private fun end(outcome: String) {
            isDecided = true
            tell(outcome)
        }

        private fun tell(outcome: String, body: String? = null) = answer(Answer(outcome, attempt, body))

        /** Repeats [request] until a leader answers or it is no longer needed, and follows the moves of the entry. */
        private fun request(
            request: LedgerRequest,
            isDone: () -> Boolean = { false },
            target: String = region,
            onEnd: (Decision) -> Unit = {},
            onReply: (LedgerReply) -> Unit = {},
        ) {
            var isAnswered = false
            fun onAnswer(reply: LedgerReply) {
                val movedTo = reply.movedTo.takeIf { faults.followsMoves } ?: return onEnd(reply.decision)
                time.count("command followed a move")
                request(request.copy(afterMove = reply.movedBy), target = movedTo, onEnd = {
                    if (it == Decision.FINISHED) time.count("finish reached the new home")
                    onEnd(reply.decision)
                })
            }
            fun attemptOnce(delayMs: Long) {
                if (!isAlive || isAnswered || isDone()) return
                time.deliver {
                    world.ledger(target).request(request) { reply ->
                        time.deliver {
                            val isFirst = !isAnswered && reply.decision != Decision.NO_LEADER
                            if (isFirst) isAnswered = true
                            if (isAlive) onReply(reply)
                            if (isAlive && isFirst) onAnswer(reply)
                        }
                    }
                }
                time.after(delayMs) { attemptOnce(minOf(2 * delayMs, 4_000)) }
            }
            attemptOnce(200)
        }

        private fun step(name: String, action: () -> Unit) {
            if (!isAlive) return
            if (world.hasFailures && time.random.nextInt(70) == 0) return crash(name)
            action()
        }
    }

    private companion object {
        private const val WAIT_MS = 8_000L
        private const val GRANT_TIMEOUT_MS = 1_500L
        private const val FINISH_TIMEOUT_MS = 1_000L
    }
}

/** What an entry host learns of a run. */
internal sealed interface RunResult {
    data class Ran(val body: String) : RunResult

    data object Refused : RunResult

    data object Broken : RunResult
}
