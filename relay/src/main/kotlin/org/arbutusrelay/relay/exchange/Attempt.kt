package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.DefaultHttpHeaders
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.relay.CopyCheck
import org.arbutusrelay.core.relay.EmbeddedHead
import org.arbutusrelay.core.relay.EventStreamCursor
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.relay.RetryAfter
import org.arbutusrelay.core.relay.StatedLimit
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
    private var isOwnResponse = false
    private val body = ByteArrayOutputStream()
    private var reservedBytes = 0

    /** Time of the start or of the last progress, on the monotonic clock, in milliseconds. */
    var lastProgressMs: Long = context.clock.nowMs()
        private set

    /** True once a part of a complete response, or an event of a stream, has arrived. */
    var hasProgressed: Boolean = false
        private set

    /** True while the relay does not read the response. */
    var isPaused: Boolean = false
        private set

    /** True once a complete response, or at least [PROVEN_EVENTS] events of a stream, have arrived. */
    var isProven: Boolean = false
        private set

    /** Splits the stream of this attempt into events. */
    val cursor = EventStreamCursor(exchange.streamPosition)

    /** Compares a second copy of the response with the first; null until one begins. */
    private var copyCheck: CopyCheck? = null
    private val startedMs = lastProgressMs
    private val sendId = exchange.sendId
    private val isToHost get() = placed.backendServer.isEmpty()
    override val isFromHost: Boolean get() = isToHost
    private var receivedEvents = 0
    private var hasReceivedBody = false

    /** True when the address now belongs to another backend server. */
    var isMisdirected: Boolean = false
        private set

    /** True when the host of another region refused the request because its document does not allow it there. */
    var isRegionRefused: Boolean = false
        private set

    fun start(request: BackendRequest) {
        call = context.pool.call(address, request, this)
    }

    fun cancel(result: AttemptResult) {
        abandon()
        context.complete(placed, result)
    }

    /** Records that a part of a complete response, or [events] events of a stream, have arrived. */
    fun recordProgress(events: Int = 0) {
        lastProgressMs = context.clock.nowMs()
        hasProgressed = true
        receivedEvents += events
        if (events > 0 && !isToHost) context.scheduler.recordEvents(placed, events, context.clock.nowMs())
        if (receivedEvents >= PROVEN_EVENTS) recordProven()
    }

    /** Records that the backend server was able to respond to the request. */
    fun recordProven() {
        if (isProven) return
        isProven = true
        exchange.crashEvidence?.recordProven(this)
    }

    /** Closes the connection of a server that sent what can't be a part of its response. */
    fun giveUp(detail: String) {
        abandon()
        fail(AttemptFailure.UNKNOWN, detail)
    }

    /** Tells the listener how the attempt ended, and how much of an event it did not complete. */
    fun reportFailed(failure: AttemptFailure, detail: String, isRetried: Boolean) {
        val isStreamRoute = exchange.route?.kind == RouteKind.STREAM
        val failed = FailedAttempt(
            placed,
            failure,
            detail,
            isRetried,
            cursor.incompleteBytes.takeIf { isStreamRoute },
            exchange.streamPosition.lastEventId.takeIf { isStreamRoute },
        )
        context.eventListener.attemptFailed(exchange, failed)
    }

    /** Closes the connection without a result; the exchange reports one. */
    fun abandon() {
        releaseBody()
        call?.cancel()
    }

    /** Stops reading the response because the caller does not read it; the time until [resumeReading] is no silence. */
    fun pauseReading() {
        isPaused = true
        call?.setAutoRead(false)
    }

    fun resumeReading() {
        if (isPaused) lastProgressMs = context.clock.nowMs()
        isPaused = false
        call?.setAutoRead(true)
    }

    override fun matchesRequest(head: BackendHead, isReused: Boolean): Boolean {
        val decoded = context.dialect.decodeResponse(head.statusCode, head.headers)
        metadata = decoded
        val answeredSendId = ForwardHeaders.sendIdOf(head.headers)?.takeIf { isToHost }
        isOwnResponse = decoded.attemptId != null || answeredSendId != null || !isReused
        if (answeredSendId != null && answeredSendId != sendId) return false
        return decoded.attemptId == null || decoded.attemptId == exchange.attemptId
    }

    override fun onHead(head: BackendHead): Boolean {
        val metadata = checkNotNull(metadata) { "onHead was called before matchesRequest" }
        lastProgressMs = context.clock.nowMs()
        metadata.load?.takeUnless { isToHost }?.let { context.reportLoad(placed, it) }
        if (!isToHost) applyStatements(head, metadata)
        // Only a host states an outcome; a backend server could state one for another.
        val outcome = ForwardHeaders.outcomeOf(head.headers)?.takeIf { isToHost }
        when {
            // Without an identifier it may be the late copy of a response to an earlier request on the connection.
            (metadata.isNotExecuted || outcome == Outcome.NOT_RUN) && !isOwnResponse -> {
                abandon()
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} without an identifier")
                return false
            }

            metadata.isNotExecuted || outcome == Outcome.NOT_RUN -> {
                isMisdirected = head.statusCode == MISDIRECTED_STATUS
                isRegionRefused = isToHost && head.statusCode == ErrorKind.FORWARD_REFUSED.statusCode
                fail(AttemptFailure.NOT_EXECUTED, "status ${head.statusCode}", retryAfterMs(head))
                return false
            }

            outcome != null -> {
                fail(AttemptFailure.UNKNOWN, "status ${head.statusCode} of ${placed.region}")
                return false
            }

            !isUsable(head, metadata) -> {
                call?.cancel()
                fail(
                    AttemptFailure.UNKNOWN,
                    "status ${head.statusCode} unsigned, encoded, of another version or in a begun stream",
                )
                return false
            }
        }
        this.head = head
        isStream = head.statusCode in SUCCESS_STATUSES && exchange.route?.kind == RouteKind.STREAM
        return true
    }

    /**
     * Applies what the backend server states of itself: that it is leaving, that it wants no requests for a time, or
     * how many it takes.
     *
     * Only a response that is known to be one of the server counts. A server that has another name, which answers at an
     * address that is in use again, states nothing about the one that the request was sent to. That a limit is missing
     * counts only in a response that names its request, which the server has run.
     */
    private fun applyStatements(head: BackendHead, metadata: ResponseMetadata) {
        if (!isOwnResponse || head.statusCode == MISDIRECTED_STATUS) return
        if (metadata.isLeaving) context.statements.onLeaving(placed)
        if (head.statusCode == UNAVAILABLE_STATUS) retryAfterMs(head)?.let { context.pause(placed, it) }
        when (val limit = metadata.limit) {
            is StatedLimit.Named -> context.statements.onLimit(placed, limit.permille)

            is StatedLimit.None -> if (metadata.attemptId != null &&
                !metadata.isNotExecuted
            ) {
                context.statements.onLimit(placed, null)
            }

            is StatedLimit.Unreadable -> Unit
        }
    }

    override fun onBody(bytes: ByteArray) {
        if (!hasReceivedBody) context.scheduler.recordFirstByte(placed, context.clock.nowMs())
        hasReceivedBody = true
        val current = head ?: return
        if (isStream) return exchange.onStreamBytes(this, current, bytes)
        recordProgress()
        if (!context.responseBuffers.tryReserve(reservedBytes, bytes.size)) {
            abandon()
            return fail(AttemptFailure.UNKNOWN, "response exceeds the buffer limit")
        }
        reservedBytes += bytes.size
        body.write(bytes)
    }

    override val isEventStream: Boolean get() = isStream

    override fun namesRequest(name: String): Boolean = context.dialect.isAttemptId(name)

    /**
     * Compares a copy of this response with the response, where only the connection marks the end of the response.
     *
     * A head that names no request or another one may belong to a late response or be quoted, and in the second case
     * the body goes on after it; a body with a length or chunks was cut. The attempt then fails visibly.
     */
    override fun onSecondResponse(head: EmbeddedHead) {
        lastProgressMs = context.clock.nowMs()
        val isCopy = requestIdOf(head) == exchange.attemptId
        val defect = if (isCopy) ResponseDefect.SECOND_RESPONSE else ResponseDefect.FOREIGN_RESPONSE
        context.eventListener.responseDefect(exchange, defect)
        val first = this.head
        val isComparable = isCopy && first?.isSelfDelimited == false && head.statusCode == first.statusCode
        copyCheck = if (isComparable) createCopyCheck() else null
        if (copyCheck == null) failAtSecondResponse()
    }

    private fun requestIdOf(head: EmbeddedHead): String? {
        val headers = DefaultHttpHeaders(false)
        head.fields.forEach { (name, value) -> headers.add(name, value) }
        return context.dialect.decodeResponse(head.statusCode, headers).attemptId
    }

    override fun onSecondBody(bytes: ByteArray) {
        if (copyCheck?.accepts(bytes) == false) failAtSecondResponse()
    }

    /** Returns null for a stream that is inside an event, or that has no position to compare with. */
    private fun createCopyCheck(): CopyCheck? = when {
        !isStream -> CopyCheck.ofBody(body.toByteArray())
        cursor.isInsideEvent || !hasProgressed -> null
        else -> exchange.streamPosition.lastEventId?.let { CopyCheck.ofStream(it) }
    }

    private fun failAtSecondResponse() {
        abandon()
        onFailure(CallFailure.SECOND_RESPONSE)
    }

    override fun onComplete() {
        val current = head ?: return
        if (copyCheck?.isWhole == false) return failAtSecondResponse()
        // For the HTTP client, a response with neither a length nor chunks is complete whenever its connection closes.
        if (isStream && isBrokenOff(current)) return onFailure(CallFailure.BROKEN)
        if (isStream) return exchange.onStreamEnd(this, current)
        releaseBody()
        // An error may come from a server that did not begin to run the request.
        if (current.statusCode in SUCCESS_STATUSES) recordProven()
        exchange.onResponse(this, current, body.toByteArray(), current.statusCode >= MIN_SERVER_ERROR_STATUS)
    }

    override fun onFailure(failure: CallFailure) {
        releaseBody()
        if (failure == CallFailure.FILLED_BODY) {
            context.eventListener.responseDefect(exchange, ResponseDefect.SECOND_RESPONSE)
        }
        // A server that has begun a second response did not crash on the request.
        val cause = if (copyCheck == null) failure else CallFailure.SECOND_RESPONSE
        exchange.crashEvidence?.recordFailure(this, cause, context.clock.nowMs() - startedMs)
        val isSent = cause != CallFailure.NOT_CONNECTED
        fail(if (isSent) AttemptFailure.UNKNOWN else AttemptFailure.NOT_SENT, cause.name.lowercase())
    }

    /** Returns true if the stream ended inside an event, or without any where only the connection marks its end. */
    private fun isBrokenOff(head: BackendHead): Boolean =
        cursor.isInsideEvent || (!hasProgressed && !head.isSelfDelimited)

    private fun releaseBody() {
        context.responseBuffers.release(reservedBytes)
        reservedBytes = 0
    }

    private fun isUsable(head: BackendHead, metadata: ResponseMetadata): Boolean =
        metadata.attemptId != null && !head.headers.contains("Content-Encoding") &&
            exchange.response.mayContinueWith(head) &&
            (head.statusCode !in SUCCESS_STATUSES || isUsableSuccess(head, metadata))

    private fun isUsableSuccess(head: BackendHead, metadata: ResponseMetadata): Boolean =
        metadata.isSigned && exchange.streamVersion.allows(softwareVersionOf(head))

    /** Returns the software version of the backend server that sent [head]; empty if it is not known. */
    fun softwareVersionOf(head: BackendHead): String =
        if (isToHost) ForwardHeaders.softwareVersionOf(head.headers).orEmpty() else placed.softwareVersion

    private fun fail(failure: AttemptFailure, detail: String, retryAfterMs: Long? = null) {
        exchange.onAttemptFailed(this, failure, detail, retryAfterMs)
    }

    private fun retryAfterMs(head: BackendHead): Long? = RetryAfter.parseMs(head.headers.getAll("Retry-After"))

    private companion object {
        /** A request that crashes backend servers does so before its first event; one event may be an empty head. */
        const val PROVEN_EVENTS = 2
        const val MISDIRECTED_STATUS = 421
        const val UNAVAILABLE_STATUS = 503
        const val MIN_SERVER_ERROR_STATUS = 500
        val SUCCESS_STATUSES = 200..299
    }
}
