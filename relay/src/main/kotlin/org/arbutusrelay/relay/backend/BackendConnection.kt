package org.arbutusrelay.relay.backend

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.arbutusrelay.core.relay.BodyEnd
import org.arbutusrelay.core.relay.BodyEndCheck
import org.arbutusrelay.core.relay.EmbeddedHeadRule
import org.arbutusrelay.core.relay.JoinedHeads
import org.arbutusrelay.core.relay.SecondResponseScanner
import java.util.concurrent.TimeUnit

/**
 * One connection to a backend server, with at most one request at a time.
 *
 * The connection is reused only after a complete response to its own request. A preceding response that belongs to
 * another request is skipped, and the connection is not reused after that. Data that arrives without a pending request
 * closes the connection, and a second response inside the body ends the response.
 *
 * A body with a length that ends like the beginning of a head is complete once the bytes behind it, or their absence,
 * show that no second response fills it.
 */
internal class BackendConnection(
    private val channel: Channel,
    private val decoder: BackendResponseDecoder,
    private val nowMs: () -> Long,
    private val onIdle: (BackendConnection) -> Unit,
    private val onClosed: (BackendConnection) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(),
    BackendCall {
    private var listener: BackendListener? = null
    private var phase = Phase.IDLE
    private var isReusable = true
    private var isReused = false

    /** True once the whole request has been written to the socket. */
    private var isSent = false
    private var skippedResponses = 0
    private var discardedBytes = 0
    private var discardNumber = 0
    private var scanner = SecondResponseScanner(BodyHeads())
    private var isSelfDelimited = false
    private var hasLength = false

    /** Checks the bytes behind the body; null unless its end is doubtful. */
    private var endCheck: BodyEndCheck? = null

    /** Time until which the caller of the current request waits, on the monotonic clock, in milliseconds. */
    private var deadlineMs = 0L

    /** Time of the latest bytes of a second response, on the monotonic clock, in milliseconds. */
    private var secondBodyMs = 0L

    /** True once a response to another request has arrived, after which the connection is not reused. */
    private var isDesynchronized = false

    /** Time for which the backend server keeps an idle connection open, in milliseconds. */
    private var keepAliveMs = DEFAULT_KEEP_ALIVE_MS
    private var idleSinceMs = nowMs()

    /** Returns true when a request may be sent now. */
    fun isUsable(): Boolean =
        phase == Phase.IDLE && channel.isActive && nowMs() - idleSinceMs < keepAliveMs - KEEP_ALIVE_MARGIN_MS

    fun send(request: BackendRequest, responseListener: BackendListener) {
        listener = responseListener
        deadlineMs = request.deadlineMs
        phase = Phase.HEAD
        decoder.rawReceiver = null
        decoder.isHeadRequest = request.method == HttpMethod.HEAD.name()
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.uri,
            Unpooled.wrappedBuffer(request.body),
            request.headers,
            EmptyHttpHeaders.INSTANCE,
        )
        isSent = false
        channel.writeAndFlush(message).addListener { if (it.isSuccess) isSent = true else awaitEarlyResponse() }
    }

    /** Waits for a response of a server that closed the connection before it had read the whole request. */
    private fun awaitEarlyResponse() {
        if (phase == Phase.CLOSED) return
        val failUnlessStarted = { if (phase == Phase.HEAD || phase == Phase.INTERIM) fail(CallFailure.BROKEN) }
        channel.eventLoop().schedule(failUnlessStarted, MAX_EARLY_RESPONSE_MS, TimeUnit.MILLISECONDS)
    }

    override fun cancel() {
        listener = null
        close()
    }

    override fun setAutoRead(isEnabled: Boolean) {
        channel.config().isAutoRead = isEnabled
    }

    fun close() {
        phase = Phase.CLOSED
        channel.close()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        when {
            phase == Phase.CLOSED -> Unit

            phase == Phase.IDLE -> close()

            message.decoderResult().isFailure -> fail(CallFailure.MALFORMED)

            else -> {
                if (message is HttpResponse) onHead(message)
                if (message is HttpContent) onContent(message)
            }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        endCheck?.let { finishBody(it.finalState) }
        fail(CallFailure.BROKEN)
        onClosed(this)
    }

    @Deprecated("Deprecated in Netty's ChannelInboundHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(CallFailure.BROKEN)
    }

    private fun onHead(response: HttpResponse) {
        val activeListener = listener ?: return close()
        val head = BackendHead(response.status().code(), response.headers(), isSelfDelimited(response))
        if (isJoined(response) || head.statusCode !in STATUSES) return fail(CallFailure.MALFORMED)
        val isInterim = head.statusCode < MIN_FINAL_STATUS
        if (isInterim || !activeListener.matchesRequest(head, isReused)) {
            if (++skippedResponses > MAX_SKIPPED_RESPONSES) return fail(CallFailure.MALFORMED)
            if (!isInterim) isDesynchronized = true
            phase = if (isInterim) Phase.INTERIM else Phase.SKIPPED
            return
        }
        isReusable = HttpUtil.isKeepAlive(response) && head.isSelfDelimited && !isDesynchronized
        isSelfDelimited = head.isSelfDelimited
        hasLength = HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
        scanner = SecondResponseScanner(BodyHeads())
        keepAliveMs = parseKeepAliveMs(response) ?: keepAliveMs
        val isWanted = activeListener.onHead(head)
        when {
            phase == Phase.CLOSED -> Unit
            isWanted -> phase = Phase.BODY
            else -> startDiscarding()
        }
    }

    /** Reads the rest of a short body so that the connection can be reused; closes it when there is no end. */
    private fun startDiscarding() {
        listener = null
        phase = Phase.DISCARD
        discardedBytes = 0
        val number = ++discardNumber
        val closeUnlessEnded = { if (phase == Phase.DISCARD && discardNumber == number) close() }
        channel.eventLoop().schedule(closeUnlessEnded, MAX_DISCARD_MS, TimeUnit.MILLISECONDS)
    }

    private fun onContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        when (phase) {
            Phase.BODY, Phase.SECOND_BODY -> {
                val bytes = ByteArray(content.content().readableBytes())
                content.content().readBytes(bytes)
                if (bytes.isNotEmpty()) onBodyBytes(bytes)
                if (isLast) onBodyEnd()
            }

            Phase.DISCARD -> {
                discardedBytes += content.content().readableBytes()
                if (isLast) {
                    markIdle()
                } else if (discardedBytes > MAX_DISCARDED_BYTES) {
                    close()
                }
            }

            Phase.SKIPPED, Phase.INTERIM -> if (isLast) phase = Phase.HEAD

            else -> Unit
        }
    }

    private fun onBodyBytes(bytes: ByteArray) {
        if (phase == Phase.SECOND_BODY) {
            secondBodyMs = nowMs()
            listener?.onSecondBody(bytes)
            return
        }
        val body = scanner.push(bytes)
        if (body.isNotEmpty()) listener?.onBody(body)
        val secondHead = scanner.secondHead ?: return
        if (phase != Phase.BODY) return
        phase = Phase.SECOND_BODY
        isReusable = false
        listener?.onSecondResponse(secondHead)
        secondBodyMs = nowMs()
        checkSecondBody()
        val begun = scanner.takeHeld()
        if (begun.isNotEmpty()) listener?.onSecondBody(begun)
    }

    /** Fails the response when its copy stalls: only the close shows that the copy, which is compared, has ended. */
    private fun checkSecondBody() {
        if (phase != Phase.SECOND_BODY) return
        val isRead = channel.config().isAutoRead
        if (isRead && nowMs() - secondBodyMs >= MAX_SECOND_PAUSE_MS) return fail(CallFailure.SECOND_RESPONSE)
        channel.eventLoop().schedule(::checkSecondBody, MAX_SECOND_PAUSE_MS, TimeUnit.MILLISECONDS)
    }

    private fun onBodyEnd() {
        if (phase == Phase.BODY) {
            failureAtEnd()?.let { return fail(it) }
            val isLikelyHead = scanner.endsInsideHead || scanner.endsBehindHead
            val waitMs = if (isLikelyHead) MAX_SECOND_PAUSE_MS else MAX_SHORT_END_WAIT_MS
            val rest = scanner.takeHeld()
            if (rest.isNotEmpty()) listener?.onBody(rest)
            val isDoubtful = hasLength && (isLikelyHead || rest.isNotEmpty()) && listener?.isFromHost == false
            if (isDoubtful && phase == Phase.BODY) return checkEnd(rest, waitMs)
        }
        if (phase == Phase.BODY || phase == Phase.SECOND_BODY) complete()
    }

    /** Returns why the response is not whole although its body has ended, or null. */
    private fun failureAtEnd(): CallFailure? = when {
        // A failed write takes the error of a reset connection, so that its end looks like a regular one.
        !isSelfDelimited && !isSent -> CallFailure.BROKEN

        !isSelfDelimited && scanner.endsInsideHead -> CallFailure.SECOND_RESPONSE

        // A head without an identifier may be quoted, but not if its response goes on behind the body.
        hasLength && scanner.hasQuotedHead && decoder.hasUnreadBytes -> CallFailure.FILLED_BODY

        else -> null
    }

    /**
     * Waits for the bytes behind a body whose [end] may begin a head, for at most [maxWaitMs].
     *
     * The wait ends before that for the response does, so that a whole response is still delivered.
     */
    private fun checkEnd(end: ByteArray, maxWaitMs: Long) {
        val leftMs = deadlineMs - nowMs() + MAX_WAIT_BEHIND_DEADLINE_MS
        val waitMs = minOf(maxWaitMs, maxOf(leftMs, MIN_END_WAIT_MS))
        val check = BodyEndCheck(end)
        phase = Phase.END_CHECK
        isReusable = false
        endCheck = check
        decoder.rawReceiver = {
            check.push(it)
            finishBody(check.state)
        }
        channel.eventLoop().schedule({ finishBody(check.finalState) }, waitMs, TimeUnit.MILLISECONDS)
    }

    private fun finishBody(end: BodyEnd) {
        if (phase != Phase.END_CHECK) return
        when (end) {
            BodyEnd.OPEN -> Unit
            BodyEnd.WHOLE -> complete()
            BodyEnd.FILLED -> fail(CallFailure.FILLED_BODY)
        }
    }

    private fun complete() {
        val activeListener = listener
        listener = null
        markIdle()
        activeListener?.onComplete()
    }

    private fun markIdle() {
        listener = null
        val mayBeKept = isReusable && isSent && !decoder.hasUnreadBytes
        if (!mayBeKept || !channel.isActive) return close()
        phase = Phase.IDLE
        // Less than a line would stay in the decoder, and be read as the beginning of the next response.
        decoder.rawReceiver = { close() }
        isReused = true
        idleSinceMs = nowMs()
        skippedResponses = 0
        channel.config().isAutoRead = true
        onIdle(this)
    }

    private fun fail(failure: CallFailure) {
        val activeListener = listener
        listener = null
        close()
        activeListener?.onFailure(failure)
    }

    private fun isSelfDelimited(response: HttpResponse): Boolean =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response) ||
            response.status().code() in NO_BODY_STATUSES

    private fun isJoined(response: HttpResponse): Boolean =
        JoinedHeads.isJoined(
            sequenceOf(response.status().reasonPhrase()) + response.headers().asSequence().map { it.value },
        )

    private fun parseKeepAliveMs(response: HttpResponse): Long? =
        response.headers()["Keep-Alive"]?.let { KEEP_ALIVE_TIMEOUT.find(it) }?.let {
            it.groupValues[1].toLong() *
                MS_PER_SECOND
        }

    private inner class BodyHeads : EmbeddedHeadRule {
        override val isEventStream: Boolean get() = listener?.isEventStream == true

        override fun namesRequest(name: String): Boolean = listener?.namesRequest(name) == true
    }

    private enum class Phase { IDLE, HEAD, INTERIM, SKIPPED, BODY, SECOND_BODY, END_CHECK, DISCARD, CLOSED }

    private companion object {
        const val MIN_FINAL_STATUS = 200

        /** Others are not defined by HTTP (RFC 9110, section 15); a server in trouble may still send them. */
        val STATUSES = 100..599

        /** Interim responses, and late copies of earlier responses, before the response to a request. */
        const val MAX_SKIPPED_RESPONSES = 8
        const val MAX_DISCARDED_BYTES = 64 * 1024
        const val MAX_DISCARD_MS = 1_000L

        /** A server that pauses for longer in a second response, or does not close after it, fails the first one. */
        const val MAX_SECOND_PAUSE_MS = 1_000L

        /**
         * Time for the bytes behind a body that ends with less than `HTTP/`, which text may well do.
         *
         * It covers the repeat of one lost packet, which takes 200 ms or more. After a longer beginning of a head,
         * which hardly ends a body, the wait is [MAX_SECOND_PAUSE_MS].
         */
        const val MAX_SHORT_END_WAIT_MS = 300L

        /** Less than the 150 ms after the deadline for which a response is waited for. */
        const val MAX_WAIT_BEHIND_DEADLINE_MS = 100L

        /** A second response is mostly written at once, so that the rest of its head comes with the end of the body. */
        const val MIN_END_WAIT_MS = 50L

        /** What the peer sent before it closed the connection is in the receive buffer when a write fails. */
        const val MAX_EARLY_RESPONSE_MS = 200L
        const val MS_PER_SECOND = 1_000L

        /** Servers that send no `Keep-Alive` header commonly close idle connections after five seconds or more. */
        const val DEFAULT_KEEP_ALIVE_MS = 5_000L

        /** Margin before the server's idle timeout, so that no request races with the close of the connection. */
        const val KEEP_ALIVE_MARGIN_MS = 700L
        val NO_BODY_STATUSES = setOf(204, 304)
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d+)""")
    }
}
