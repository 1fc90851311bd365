package org.arbutusrelay.relay.ingress

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
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
import java.io.ByteArrayOutputStream

/**
 * Reads requests from one connection, one after the other, and notices when the caller leaves.
 *
 * The connection is read on while a response is on its way, because only a read tells that the caller has closed it.
 * What arrives meanwhile is kept until the response is complete; a caller that sends too much ahead is closed.
 */
internal class IngressHandler(
    private val isForwarded: Boolean,
    private val options: IngressOptions,
    private val service: IngressService,
) : SimpleChannelInboundHandler<HttpObject>(false) {
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private var exchange: IngressExchange? = null
    private var writer: ResponseWriter? = null
    private var isClosing = false
    private val ahead = ArrayDeque<HttpObject>()
    private var lastActiveMs = options.nowMs()

    override fun channelActive(context: ChannelHandlerContext) {
        service.onOpen(this, context.channel())
        context.fireChannelActive()
    }

    override fun channelRead0(context: ChannelHandlerContext, message: HttpObject) {
        lastActiveMs = options.nowMs()
        if (exchange != null) return keepAhead(context, message)
        try {
            handle(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        ahead.forEach(ReferenceCountUtil::release)
        ahead.clear()
        val open = exchange
        exchange = null
        open?.onCallerLeft()
        service.onClose(this)
        context.fireChannelInactive()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) writer?.onWritable?.invoke()
    }

    @Deprecated("Netty calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    /** Returns true when no request is being read or answered. */
    fun isIdle(): Boolean = exchange == null && head == null

    /** Returns true when the connection has been idle for [idleMs]. */
    fun isIdleSince(idleMs: Long): Boolean = isIdle() && options.nowMs() - lastActiveMs > idleMs

    private fun keepAhead(context: ChannelHandlerContext, message: HttpObject) {
        ahead.addLast(message)
        if (ahead.size > MAX_AHEAD) context.close()
    }

    private fun handle(context: ChannelHandlerContext, message: HttpObject) {
        if (isClosing) return
        if (message.decoderResult().isFailure) return refuseMalformed(context, message)
        if (message is HttpRequest) begin(context, message)
        if (message is HttpContent && head != null) append(context, message)
    }

    private fun begin(context: ChannelHandlerContext, request: HttpRequest) {
        body = ByteArrayOutputStream()
        val headers = request.headers()
        val hasBothLengths = headers.contains(HttpHeaderNames.TRANSFER_ENCODING) &&
            headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBothLengths || headers.getAll(HttpHeaderNames.HOST).size != 1) {
            return refuse(context, HttpResponseStatus.BAD_REQUEST)
        }
        if (HttpUtil.getContentLength(request, 0L) > options.maxBodyBytes()) {
            return refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        head = request
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun append(context: ChannelHandlerContext, content: HttpContent) {
        content.content().let { it.readBytes(body, it.readableBytes()) }
        if (body.size() > options.maxBodyBytes()) return refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (content is LastHttpContent) head?.let { start(context, it) }
    }

    private fun start(context: ChannelHandlerContext, request: HttpRequest) {
        head = null
        val read = IngressRequest(
            request.method().name(),
            request.uri(),
            request.headers(),
            body.toByteArray(),
            options.nowMs(),
            isForwarded,
        )
        val isKept = HttpUtil.isKeepAlive(request)
        val opened = ResponseWriter(context.channel(), { isKept && !service.isLeaving }, { end(context, it) })
        writer = opened
        val started = service.open(read, opened)
        exchange = started
        started.start()
    }

    private fun end(context: ChannelHandlerContext, isKept: Boolean) {
        exchange = null
        writer = null
        lastActiveMs = options.nowMs()
        if (!isKept) {
            isClosing = true
            context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        // Not from within the call that ended the exchange, which may still have to return to it.
        if (ahead.isNotEmpty()) context.executor().execute { replay(context) }
    }

    private fun replay(context: ChannelHandlerContext) {
        while (exchange == null) {
            val message = ahead.removeFirstOrNull() ?: return
            channelRead0(context, message)
        }
    }

    private fun refuseMalformed(context: ChannelHandlerContext, message: HttpObject) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val tooLarge = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        refuse(context, if (isTooLong) tooLarge else HttpResponseStatus.BAD_REQUEST)
    }

    private fun refuse(context: ChannelHandlerContext, status: HttpResponseStatus) {
        isClosing = true
        head = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers()[HttpHeaderNames.CONTENT_LENGTH] = 0
        response.headers()[HttpHeaderNames.CONNECTION] = "close"
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        /** Messages of the HTTP decoder; two small requests that a caller sends ahead. */
        const val MAX_AHEAD = 32
    }
}
