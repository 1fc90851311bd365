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

/** Receives the response to one attempt, validates it and reports the result to the exchange. */
internal class Attempt(
    private val context: RelayContext,
    private val exchange: Exchange,
    val placed: PlacedAttempt,
    val address: String,
) : BackendListener {
    private var call: BackendCall? = null
    private var head: BackendHead? = null
    private var metadata: ResponseMetadata? = null
    private var isStream = false
    private val body = ByteArrayOutputStream()

    /** Time of the start or of the last received data, on the monotonic clock, in milliseconds. */
    var lastProgressMs: Long = context.clock.nowMs()
        private set

    /** True once a part of the response body has arrived. */
    var hasReceivedBody: Boolean = false
        private set

    /** True when the address now belongs to another backend server. */
    var isMisdirected: Boolean = false
        private set

    fun start(request: BackendRequest) {
        call = context.pool.call(address, request, this)
    }

    fun cancel(result: AttemptResult) {
        call?.cancel()
        context.complete(placed, result)
    }

    fun setAutoRead(isEnabled: Boolean) {
        call?.setAutoRead(isEnabled)
    }

    override fun matchesRequest(head: BackendHead): Boolean {
        val decoded = context.dialect.decodeResponse(head.statusCode, head.headers)
        metadata = decoded
        return decoded.attemptId == null || decoded.attemptId == exchange.attemptId
    }

    override fun onHead(head: BackendHead): Boolean {
        val metadata = checkNotNull(metadata) { "onHead was called before matchesRequest" }
        recordProgress()
        metadata.load?.takeIf { placed.backendServer.isNotEmpty() }?.let { context.reportLoad(placed, it) }
        val outcome = ForwardHeaders.outcomeOf(head.headers)
        when {
            metadata.isNotExecuted || outcome == Outcome.NOT_RUN -> {
                isMisdirected = head.statusCode == MISDIRECTED_STATUS
                fail(AttemptFailure.NOT_EXECUTED, "status ${head.statusCode}", parseRetryAfterMs(head))
                return false
            }

            outcome != null -> {
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} of ${placed.region}")
                return false
            }

            !isUsable(head, metadata) -> {
                call?.cancel()
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} without a signature or with an encoding")
                return false
            }
        }
        this.head = head
        isStream = head.statusCode in SUCCESS_STATUSES && exchange.route?.kind == RouteKind.STREAM
        return true
    }

    override fun onBody(bytes: ByteArray) {
        if (!hasReceivedBody) context.scheduler.recordFirstByte(placed, context.clock.nowMs())
        recordProgress()
        hasReceivedBody = true
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
        exchange.onResponse(this, current, body.toByteArray(), current.statusCode >= MIN_SERVER_ERROR_STATUS)
    }

    override fun onFailure(failure: CallFailure) {
        val isSent = failure != CallFailure.NOT_CONNECTED
        fail(if (isSent) AttemptFailure.UNKNOWN else AttemptFailure.NOT_SENT, failure.name.lowercase())
    }

    private fun isUsable(head: BackendHead, metadata: ResponseMetadata): Boolean =
        metadata.attemptId != null && !head.headers.contains("Content-Encoding") &&
            (metadata.isSigned || head.statusCode !in SUCCESS_STATUSES)

    private fun recordProgress() {
        lastProgressMs = context.clock.nowMs()
    }

    private fun fail(failure: AttemptFailure, detail: String, retryAfterMs: Long? = null) {
        exchange.onAttemptFailed(this, failure, detail, retryAfterMs)
    }

    private fun parseRetryAfterMs(head: BackendHead): Long? =
        head.headers["Retry-After"]?.toDoubleOrNull()?.let { (it * MS_PER_SECOND).toLong() }

    private companion object {
        const val MISDIRECTED_STATUS = 421
        const val MIN_SERVER_ERROR_STATUS = 500
        const val MS_PER_SECOND = 1_000
        val SUCCESS_STATUSES = 200..299
    }
}
