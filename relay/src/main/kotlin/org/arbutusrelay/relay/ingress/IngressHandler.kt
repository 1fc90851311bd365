package org.arbutusrelay.relay.ingress

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/**
 * Reads requests from one connection, one at a time, and detects when the caller disconnects.
 *
 * Reading continues while a response is pending, because only a read reveals that the caller has closed the connection.
 * Pipelined messages are buffered until the response is complete; the connection is closed when the buffer limit is
 * exceeded. While there is no memory for a body, the connection is not read; a request that cannot be read within its
 * caller's time is refused.
 */
internal class IngressHandler(
    private val isForwarded: Boolean,
    private val options: IngressOptions,
    private val service: IngressService,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private var head: HttpRequest? = null
    private var body: RequestBody? = null

    /** Number of the wait for memory that goes on, or null; the connection is not read meanwhile. */
    private var waitNumber: Int? = null
    private var waitCount = 0
    private var exchange: IngressExchange? = null
    private var writer: ResponseWriter? = null
    private var isClosing = false
    private val pipelined = ArrayDeque<HttpObject>()
    private var lastActiveMs = options.nowMs()
    private var headReadMs = 0L
    private var handlerContext: ChannelHandlerContext? = null

    /** Time of the first byte of a head that is not complete, or null. */
    private var headStartedMs: Long? = null

    /** Records the first byte of a head; it must precede the HTTP decoder, which passes on complete heads only. */
    val byteListener: ChannelInboundHandlerAdapter = object : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (exchange == null && head == null && headStartedMs == null) headStartedMs = options.nowMs()
            context.fireChannelRead(message)
        }
    }

    override fun channelActive(context: ChannelHandlerContext) {
        handlerContext = context
        service.onConnectionOpened(this, context.channel())
        context.fireChannelActive()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        // A body that arrives piece by piece does not extend the time that the request has.
        if (message is HttpRequest) lastActiveMs = options.nowMs()
        // Messages that wait for the end of a response are handled first, also when it has just ended.
        if (exchange != null || pipelined.isNotEmpty()) return bufferPipelined(context, message)
        handleOrWait(context, message)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        discardUnread()
        val active = exchange
        exchange = null
        active?.onCallerDisconnected()
        service.onConnectionClosed(this)
        context.fireChannelInactive()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) writer?.onWritable?.invoke()
    }

    @Deprecated("Deprecated in Netty's ChannelInboundHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** True while a part of a response waits for a caller that reads slowly. */
    val hasUnsentBytes: Boolean
        get() = (handlerContext?.channel()?.unsafe()?.outboundBuffer()?.totalPendingWriteBytes() ?: 0) > 0

    /** Returns true when no request is being read or processed and every response has been written. */
    fun isIdle(): Boolean = exchange == null && head == null && pipelined.isEmpty() && !hasUnsentBytes

    /** Returns true when no request is being read or processed and none has been for at least [quietMs]. */
    fun isQuietFor(quietMs: Long): Boolean = isIdle() && options.nowMs() - lastActiveMs >= quietMs

    /** Returns true when no request is processed and none has begun or ended for more than [idleMs]. */
    fun isIdleLongerThan(idleMs: Long): Boolean =
        exchange == null && !isClosing && options.nowMs() - lastActiveMs > idleMs

    /** Rejects a request whose head takes longer than [headMs], or whose head and body take longer than [requestMs]. */
    fun rejectIfSlow(headMs: Long, requestMs: Long) {
        val context = handlerContext ?: return
        if (isClosing || exchange != null) return
        val nowMs = options.nowMs() - options.lagMs()
        val isHeadSlow = headStartedMs?.let { nowMs - it > headMs } == true
        if (isHeadSlow || (head != null && nowMs - lastActiveMs > requestMs)) {
            reject(context, HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }

    /** True while the current request may run on a backend server. */
    val isRequestSent: Boolean get() = exchange?.isSent == true

    /** Refuses the current request if it was not sent to a backend server and may not end before the process does. */
    fun refuseUnsent() {
        exchange?.onAdmissionRestricted()
    }

    /** Ends the request that is being read or processed with an error. */
    fun failRequest() {
        val active = exchange
        val context = handlerContext
        when {
            active != null -> active.onProcessEnding()
            head != null && context != null -> reject(context, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter = "0")
        }
    }

    /** Reads on if there is memory for the body that waits. */
    fun resumeIfRoom() {
        val context = handlerContext ?: return
        val next = pipelined.firstOrNull()
        if (waitNumber == null || (next is HttpContent && !hasRoomFor(next))) return
        endWait(context)
        processPipelined(context)
    }

    /** Runs [action] on the event loop of the connection. */
    fun execute(action: () -> Unit) {
        handlerContext?.executor()?.execute(action)
    }

    private fun bufferPipelined(context: ChannelHandlerContext, message: HttpObject) {
        pipelined.addLast(message)
        // A connection that waits is not read, so that no more follow than were decoded at once.
        if (waitNumber == null && pipelined.size > MAX_PIPELINED_MESSAGES) context.close()
    }

    private fun handleOrWait(context: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpContent && !hasRoomFor(message)) return awaitRoom(context, message)
        try {
            handle(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun hasRoomFor(content: HttpContent): Boolean {
        val bytes = content.content().readableBytes()
        return isClosing || head == null || bytes == 0 || body?.tryReserve(bytes) != false
    }

    private fun awaitRoom(context: ChannelHandlerContext, message: HttpObject) {
        val headers = head?.headers() ?: return
        pipelined.addFirst(message)
        val number = ++waitCount
        waitNumber = number
        context.channel().config().isAutoRead = false
        options.bodies.await(this)
        val refuse = { if (waitNumber == number) refuseForMemory(context) }
        context.executor().schedule(refuse, options.bodyWaitMs(headers), TimeUnit.MILLISECONDS)
    }

    private fun refuseForMemory(context: ChannelHandlerContext) {
        options.onBodyRefused()
        reject(context, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfter = BODY_RETRY_AFTER_S)
    }

    private fun endWait(context: ChannelHandlerContext) {
        if (waitNumber == null) return
        waitNumber = null
        options.bodies.stopWaiting(this)
        context.channel().config().isAutoRead = true
    }

    /** Gives up the request that is being read, and everything that was read after it. */
    private fun discardUnread() {
        handlerContext?.let(::endWait)
        head = null
        body?.let { options.bodies.release(it.lease) }
        body = null
        pipelined.forEach(ReferenceCountUtil::release)
        pipelined.clear()
    }

    private fun handle(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return
        if (message.decoderResult().isFailure) return rejectMalformed(context, message)
        if (message is HttpRequest) onRequestHead(context, message)
        if (message is HttpContent && head != null) onRequestContent(context, message)
    }

    private fun onRequestHead(context: ChannelHandlerContext, request: HttpRequest) {
        headStartedMs = null
        val headers = request.headers()
        val hasConflictingLengths = headers.contains(HttpHeaderNames.TRANSFER_ENCODING) &&
            headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasConflictingLengths || headers.getAll(HttpHeaderNames.HOST).size != 1) {
            return reject(context, HttpResponseStatus.BAD_REQUEST)
        }
        val lengthBytes = HttpUtil.getContentLength(request, UNKNOWN_LENGTH)
        if (lengthBytes > options.maxBodyBytes()) {
            return reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        head = request
        val announcedBytes = lengthBytes.toInt().takeIf { it >= 0 }
        body = RequestBody(options.bodies.lease(), announcedBytes, options.maxBodyBytes())
        headReadMs = options.nowMs() - options.lagMs()
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun onRequestContent(context: ChannelHandlerContext, content: HttpContent) {
        val current = body ?: return
        current.append(content.content())
        if (current.sizeBytes > options.maxBodyBytes()) {
            return reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content is LastHttpContent) head?.let { startExchange(context, it, current) }
    }

    private fun startExchange(context: ChannelHandlerContext, request: HttpRequest, body: RequestBody) {
        head = null
        this.body = null
        val ingressRequest = IngressRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            body.toByteArray(),
            headReadMs,
            isForwarded,
        ) { options.bodies.release(body.lease) }
        val isPersistent = HttpUtil.isKeepAlive(request)
        val responseWriter = ResponseWriter(
            context.channel(),
            { isPersistent && !service.isShuttingDown },
            { onResponseEnd(context, it) },
        )
        writer = responseWriter
        val newExchange = service.createExchange(ingressRequest, responseWriter)
        exchange = newExchange
        // A late event loop finds the request and the close of its connection at once; the close is read after it.
        context.executor().execute { startIfCallerWaits(context, newExchange) }
    }

    private fun startIfCallerWaits(context: ChannelHandlerContext, newExchange: IngressExchange) {
        if (exchange === newExchange && context.channel().isActive) newExchange.start()
    }

    private fun onResponseEnd(context: ChannelHandlerContext, isPersistent: Boolean) {
        exchange = null
        writer = null
        lastActiveMs = options.nowMs()
        if (!isPersistent) {
            isClosing = true
            context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        // Scheduled rather than called directly, because the exchange that ended may still be on the call stack.
        if (pipelined.isNotEmpty()) context.executor().execute { processPipelined(context) }
    }

    private fun processPipelined(context: ChannelHandlerContext) {
        while (exchange == null && waitNumber == null) {
            handleOrWait(context, pipelined.removeFirstOrNull() ?: return)
        }
    }

    private fun rejectMalformed(context: ChannelHandlerContext, message: HttpObject) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val tooLargeStatus = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        reject(context, if (isTooLong) tooLargeStatus else HttpResponseStatus.BAD_REQUEST)
    }

    private fun reject(context: ChannelHandlerContext, status: HttpResponseStatus, retryAfter: String? = null) {
        isClosing = true
        discardUnread()
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = 0
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
        retryAfter?.let { response.headers()[HttpHeaderNames.RETRY_AFTER] = it }
        context.writeAndFlush(response).addListener { LingeringClose.begin(context) }
    }

    private companion object {
        /** Limit in messages of the HTTP decoder; allows for two small pipelined requests. */
        const val MAX_PIPELINED_MESSAGES = 32
        const val UNKNOWN_LENGTH = -1L

        /** About the time in which a long body is read and answered, after which its memory is free again. */
        const val BODY_RETRY_AFTER_S = "1"
    }
}
