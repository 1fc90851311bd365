package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.relay.backend.BackendCall
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.backend.BackendListener
import org.arbutusrelay.relay.backend.BackendRequest
import org.arbutusrelay.relay.backend.CallFailure
import org.arbutusrelay.relay.dialect.ResponseMetadata
import java.io.ByteArrayOutputStream

/** Reads the response to one attempt and tells the exchange what it is worth. */
internal class Attempt(
    private val core: RelayCore,
    private val exchange: Exchange,
    val placed: PlacedAttempt,
    val address: String,
) : BackendListener {
    private var call: BackendCall? = null
    private var head: BackendHead? = null
    private var facts: ResponseMetadata? = null
    private var isStream = false
    private val body = ByteArrayOutputStream()

    /** When something arrived last, on the monotonic clock, in milliseconds. */
    var progressMs: Long = core.clock.nowMs()
        private set

    /** True once a part of the response has arrived. */
    var hasProgressed: Boolean = false
        private set

    /** True when another backend server has the address now. */
    var isMisdirected: Boolean = false
        private set

    fun start(request: BackendRequest) {
        call = core.pool.call(address, request, this)
    }

    fun cancel(result: AttemptResult) {
        call?.cancel()
        core.complete(placed, result)
    }

    fun setReading(isReading: Boolean) {
        call?.setReading(isReading)
    }

    override fun isOwn(head: BackendHead): Boolean {
        val read = core.dialect.decodeResponse(head.statusCode, head.headers)
        facts = read
        return read.attemptId == null || read.attemptId == exchange.attemptId
    }

    override fun onHead(head: BackendHead): Boolean {
        val facts = checkNotNull(facts) { "the head was not asked for its owner" }
        noteProgress()
        facts.load?.takeIf { placed.backendServer.isNotEmpty() }?.let { core.observe(placed, it) }
        val outcome = ForwardHeaders.outcomeOf(head.headers)
        when {
            facts.isNotExecuted || outcome == Outcome.NOT_RUN -> {
                isMisdirected = head.statusCode == MISDIRECTED
                fail(AttemptFailure.NOT_EXECUTED, "status ${head.statusCode}", retryAfterOf(head))
                return false
            }

            outcome != null -> {
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} of ${placed.region}")
                return false
            }

            !isUsable(head, facts) -> {
                call?.cancel()
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} without a signature or with an encoding")
                return false
            }
        }
        this.head = head
        isStream = head.statusCode in SUCCESS && exchange.route?.kind == RouteKind.STREAM
        return true
    }

    override fun onBody(bytes: ByteArray) {
        if (!hasProgressed) core.scheduler.recordFirstByte(placed, core.clock.nowMs())
        noteProgress()
        hasProgressed = true
        val current = head ?: return
        if (isStream) {
            exchange.onStreamBytes(this, current, bytes)
        } else {
            body.write(bytes)
        }
    }

    override fun onComplete() {
        val current = head ?: return
        if (isStream) return exchange.onStreamEnd(this, current)
        exchange.onAnswer(this, current, body.toByteArray(), current.statusCode >= FIRST_SERVER_ERROR)
    }

    override fun onFailure(failure: CallFailure) {
        val isSent = failure != CallFailure.NOT_CONNECTED
        fail(if (isSent) AttemptFailure.UNKNOWN else AttemptFailure.NOT_SENT, failure.name.lowercase())
    }

    private fun isUsable(head: BackendHead, facts: ResponseMetadata): Boolean =
        facts.attemptId != null && !head.headers.contains("Content-Encoding") &&
            (facts.isSigned || head.statusCode !in SUCCESS)

    private fun noteProgress() {
        progressMs = core.clock.nowMs()
    }

    private fun fail(failure: AttemptFailure, detail: String, retryAfterMs: Long? = null) {
        exchange.onAttemptFailed(this, failure, detail, retryAfterMs)
    }

    private fun retryAfterOf(head: BackendHead): Long? =
        head.headers["Retry-After"]?.toDoubleOrNull()?.let { (it * MS_PER_S).toLong() }

    private companion object {
        const val MISDIRECTED = 421
        const val FIRST_SERVER_ERROR = 500
        const val MS_PER_S = 1_000
        val SUCCESS = 200..299
    }
}
