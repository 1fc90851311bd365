package org.arbutusrelay.relay.ingress

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.ReadTimeoutHandler

/** A response of a [StatusServer]. */
internal class StatusReply(val statusCode: Int, val body: String = "", val contentType: String = "text/plain")

/**
 * Answers a few paths, such as a readiness check and metrics, on the event loops of [group].
 *
 * It does not run on Javalin: an entry host would load a second HTTP library for two paths, which took 0.75 s of
 * processor time of a start that takes 2 s in all.
 */
internal class StatusServer(
    private val group: EventLoopGroup,
    private val address: String,
    private val replies: Map<String, () -> StatusReply>,
) {
    private var channel: Channel? = null

    /** Opens the address; throws when it cannot be opened. */
    fun start() {
        channel = group.listen(address) { pipeline ->
            pipeline.addLast(
                ReadTimeoutHandler(IDLE_SECONDS),
                HttpServerCodec(),
                HttpObjectAggregator(MAX_BODY_BYTES),
                Handler(replies),
            )
        }
    }

    /** Accepts no more connections. */
    fun stop() {
        channel?.close()
    }

    private class Handler(private val replies: Map<String, () -> StatusReply>) :
        SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val reply = replies[request.uri().substringBefore('?')]?.invoke() ?: StatusReply(NOT_FOUND)
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(reply.statusCode),
                Unpooled.copiedBuffer(reply.body, Charsets.UTF_8),
            )
            response.headers()[HttpHeaderNames.CONTENT_TYPE] = reply.contentType
            response.headers()[HttpHeaderNames.CONTENT_LENGTH] = response.content().readableBytes()
            val isKept = HttpUtil.isKeepAlive(request)
            HttpUtil.setKeepAlive(response, isKept)
            val written = context.writeAndFlush(response)
            if (!isKept) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Deprecated in Netty's ChannelInboundHandler")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A malformed request or an idle connection; nobody else is concerned.
            context.close()
        }
    }

    private companion object {
        const val IDLE_SECONDS = 30
        const val MAX_BODY_BYTES = 1_024
        const val NOT_FOUND = 404
    }
}
