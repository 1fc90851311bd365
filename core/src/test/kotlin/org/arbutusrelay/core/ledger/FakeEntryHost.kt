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

/** Response to a caller; [body] is set when the response is complete. */
internal data class CallerResponse(val outcome: String, val attempt: Attempt, val body: String? = null)

/** Entry host that processes requests with the ledger protocol and may crash at each step. */
internal class FakeEntryHost(
    private val name: String,
    private val time: VirtualTime,
    private val simulation: LedgerSimulation,
    private val faults: LedgerFaults,
) {
    var epoch = time.random.nextLong(Long.MAX_VALUE)
        private set
    val homes = HashMap<String, String>()
    private var isRunning = true
    private var nextNumber = 0L

    fun accept(key: LedgerKey, digest: String, onResponse: (CallerResponse) -> Unit) {
        if (!isRunning) return
        RequestExecution(key, digest, Attempt(name, epoch, nextNumber++), onResponse).start()
    }

    private fun crash(step: String) {
        time.count("host crash at $step")
        time.log("$name crash at $step")
        if (simulation.isLedgerDown()) time.count("host crash while a ledger has no leader")
        val oldEpoch = epoch
        isRunning = false
        time.after(time.random.nextLong(200, 5_000)) {
            epoch = time.random.nextLong(Long.MAX_VALUE)
            isRunning = true
            time.after(time.random.nextLong(1, 2_000)) { simulation.onHostRestart(name, oldEpoch) }
        }
    }

    private inner class RequestExecution(
        private val key: LedgerKey,
        private val digest: String,
        private val attempt: Attempt,
        private val onResponse: (CallerResponse) -> Unit,
    ) {
        private val region = homes.getValue(key.caller)
        private var isDecided = false
        private val isAlive: Boolean get() = isRunning && epoch == attempt.epoch

        fun start() = step("accept") {
            val grant = LedgerGrant(key, attempt, digest, WAIT_MS, key.service)
            request(LedgerRequest(0, region, grant = grant), { isDecided }, onReply = ::onGrantReply)
            time.after(GRANT_TIMEOUT_MS) { if (isAlive && !isDecided) onTimeout() }
            step("grant request") {}
        }

        private fun onTimeout() {
            time.count("grant timed out")
            releaseAttempt()
            if (faults.sendsAfterTimeout) simulation.runOnBackend(key, digest, attempt) {}
        }

        private fun releaseAttempt() {
            isDecided = true
            request(LedgerRequest(0, region, release = LedgerRelease(key, attempt))) {
                if (it.decision == Decision.RELEASED) simulation.ledger(region).releaseAcknowledged += attempt
            }
            step("release") { respond("not_run") }
        }

        private fun onGrantReply(reply: LedgerReply) {
            if (isDecided) return
            when (reply.decision) {
                Decision.GRANTED -> send()
                Decision.FINISHED -> respondStored(reply.response)
                Decision.UNKNOWN -> complete("unknown")
                Decision.BODY_MISMATCH -> complete("mismatch")
                Decision.IN_PROGRESS -> releaseAttempt()
                Decision.RELEASED, Decision.FENCED -> releaseAttempt()
                else -> Unit
            }
        }

        private fun send() {
            isDecided = true
            step("granted") { simulation.runOnBackend(key, digest, attempt, ::onRunResult) }
            if (isAlive) step("sent") {}
        }

        private fun onRunResult(result: RunResult) = step("run") {
            when (result) {
                is RunResult.Refused -> releaseAttempt()
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
            respond("unknown")
        }

        private fun finish(body: String) {
            var isDelivered = false
            val deliver = { if (!isDelivered) step("deliver") { isDelivered = true.also { respond("ran", body) } } }
            val response = StoredResponse(200, "text/plain", body.toByteArray())
            val finish = LedgerRequest(0, region, finish = LedgerFinish(key, attempt, response))
            request(finish, onEnd = { if (it == Decision.FINISHED) simulation.stored[key] = body }) { deliver() }
            step("finish") { time.after(FINISH_TIMEOUT_MS) { if (isAlive) deliver() } }
        }

        /** Responds with the stored response, without a body when it must not leave the former home region. */
        private fun respondStored(response: StoredResponse?) {
            isDecided = true
            time.count(if (response == null) "stored response retained elsewhere" else "stored response used")
            respond("ran", response?.body?.decodeToString())
        }

        private fun complete(outcome: String) {
            isDecided = true
            respond(outcome)
        }

        private fun respond(outcome: String, body: String? = null) = onResponse(CallerResponse(outcome, attempt, body))

        /** Repeats [request] until a leader replies or [isDone], and then in the new home if the entry has moved. */
        private fun request(
            request: LedgerRequest,
            isDone: () -> Boolean = { false },
            target: String = region,
            onEnd: (Decision) -> Unit = {},
            onReply: (LedgerReply) -> Unit = {},
        ) {
            var hasReply = false
            fun onFirstReply(reply: LedgerReply) {
                val movedTo = reply.movedTo.takeIf { faults.repeatsAfterMove } ?: return onEnd(reply.decision)
                time.count("command repeated in the new home")
                request(request.copy(afterMove = reply.movedBy), target = movedTo, onEnd = {
                    if (it == Decision.FINISHED) time.count("finish reached the new home")
                    onEnd(reply.decision)
                })
            }
            fun sendOnce(delayMs: Long) {
                if (!isAlive || hasReply || isDone()) return
                time.deliver {
                    simulation.ledger(target).request(request) { reply ->
                        time.deliver {
                            val isFirst = !hasReply && reply.decision != Decision.NO_LEADER
                            if (isFirst) hasReply = true
                            if (isAlive) onReply(reply)
                            if (isAlive && isFirst) onFirstReply(reply)
                        }
                    }
                }
                time.after(delayMs) { sendOnce(minOf(2 * delayMs, 4_000)) }
            }
            sendOnce(200)
        }

        private fun step(name: String, action: () -> Unit) {
            if (!isAlive) return
            if (simulation.hasFailures && time.random.nextInt(70) == 0) return crash(name)
            action()
        }
    }

    private companion object {
        private const val WAIT_MS = 8_000L
        private const val GRANT_TIMEOUT_MS = 1_500L
        private const val FINISH_TIMEOUT_MS = 1_000L
    }
}

/** Result of a run, as the entry host receives it. */
internal sealed interface RunResult {
    data class Ran(val body: String) : RunResult

    data object Refused : RunResult

    data object Broken : RunResult
}
