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

/**
 * One connection to a backend server, with at most one request at a time.
 *
 * The connection is used again only after a complete response to the request that was sent. A response to another
 * request that comes first is skipped, and anything that arrives without a request ends the connection.
 */
internal class BackendConnection(
    private val channel: Channel,
    private val nowMs: () -> Long,
    private val onIdle: (BackendConnection) -> Unit,
    private val onClosed: (BackendConnection) -> Unit,
) : SimpleChannelInboundHandler<HttpObject>(),
    BackendCall {
    private var listener: BackendListener? = null
    private var phase = Phase.IDLE
    private var isKept = true
    private var isForeignSeen = false

    /** How long the backend server keeps the idle connection, in milliseconds. */
    private var keepAliveMs = DEFAULT_KEEP_ALIVE_MS
    private var idleSinceMs = nowMs()

    /** Returns true when a request may be sent now. */
    fun isUsable(): Boolean =
        phase == Phase.IDLE && channel.isActive && nowMs() - idleSinceMs < keepAliveMs - KEEP_ALIVE_MARGIN_MS

    fun send(request: BackendRequest, receiver: BackendListener) {
        listener = receiver
        phase = Phase.HEAD
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            request.uri,
            Unpooled.wrappedBuffer(request.body),
            request.headers,
            EmptyHttpHeaders.INSTANCE,
        )
        channel.writeAndFlush(message).addListener { if (!it.isSuccess) fail(CallFailure.BROKEN) }
    }

    override fun cancel() {
        listener = null
        close()
    }

    override fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
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
        fail(CallFailure.BROKEN)
        onClosed(this)
    }

    @Deprecated("Netty calls it")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        fail(CallFailure.BROKEN)
    }

    private fun onHead(response: HttpResponse) {
        val target = listener ?: return close()
        val head = BackendHead(response.status().code(), response.headers())
        if (head.statusCode < FIRST_FINAL_STATUS) {
            phase = Phase.INTERIM
            return
        }
        if (!target.isOwn(head)) {
            isForeignSeen = true
            phase = Phase.FOREIGN
            return
        }
        isKept = HttpUtil.isKeepAlive(response) && isDelimited(response) && !isForeignSeen
        keepAliveMs = keepAliveOf(response) ?: keepAliveMs
        phase = if (target.onHead(head)) Phase.BODY else Phase.DISCARD
    }

    private fun onContent(content: HttpContent) {
        val isLast = content is LastHttpContent
        when (phase) {
            Phase.BODY -> {
                if (content.content().isReadable) {
                    val bytes = ByteArray(content.content().readableBytes())
                    content.content().readBytes(bytes)
                    listener?.onBody(bytes)
                }
                if (isLast && phase == Phase.BODY) complete()
            }

            Phase.DISCARD -> if (isLast) becomeIdle()

            Phase.FOREIGN, Phase.INTERIM -> if (isLast) phase = Phase.HEAD

            else -> Unit
        }
    }

    private fun complete() {
        val target = listener
        listener = null
        becomeIdle()
        target?.onComplete()
    }

    private fun becomeIdle() {
        listener = null
        if (!isKept || !channel.isActive) return close()
        phase = Phase.IDLE
        idleSinceMs = nowMs()
        channel.config().isAutoRead = true
        onIdle(this)
    }

    private fun fail(failure: CallFailure) {
        val target = listener
        listener = null
        close()
        target?.onFailure(failure)
    }

    private fun isDelimited(response: HttpResponse): Boolean =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response) ||
            response.status().code() in BODILESS_STATUSES

    private fun keepAliveOf(response: HttpResponse): Long? =
        response.headers()["Keep-Alive"]?.let { KEEP_ALIVE_TIMEOUT.find(it) }?.let {
            it.groupValues[1].toLong() *
                MS_PER_S
        }

    private enum class Phase { IDLE, HEAD, INTERIM, FOREIGN, BODY, DISCARD, CLOSED }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val MS_PER_S = 1_000L

        /** Servers without a `Keep-Alive` header commonly close after five seconds or more. */
        const val DEFAULT_KEEP_ALIVE_MS = 5_000L

        /** A request must not cross the close of the connection, so the last part of the time is not used. */
        const val KEEP_ALIVE_MARGIN_MS = 700L
        val BODILESS_STATUSES = setOf(204, 304)
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d+)""")
    }
}
