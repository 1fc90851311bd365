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
internal class StatusResponse(val statusCode: Int, val body: String = "", val contentType: String = "text/plain")

/**
 * Serves a few paths, such as a readiness check and metrics, on the event loops of [group].
 *
 * It does not use Javalin: an entry host would load a second HTTP library for two paths, which took 0.75 s of CPU time
 * during a startup of 2 s.
 */
internal class StatusServer(
    private val group: EventLoopGroup,
    private val address: String,
    private val responders: Map<String, () -> StatusResponse>,
) {
    private var channel: Channel? = null

    /** Listens on the address; throws when it cannot be bound. */
    fun start() {
        channel = group.listen(address) { pipeline ->
            pipeline.addLast(
                ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                HttpServerCodec(),
                HttpObjectAggregator(MAX_BODY_BYTES),
                Handler(responders),
            )
        }
    }

    /** Stops accepting connections. */
    fun stop() {
        channel?.close()
    }

    private class Handler(private val responders: Map<String, () -> StatusResponse>) :
        SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val result = responders[request.uri().substringBefore('?')]?.invoke() ?: StatusResponse(NOT_FOUND_STATUS)
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(result.statusCode),
                Unpooled.copiedBuffer(result.body, Charsets.UTF_8),
            )
            response.headers()[HttpHeaderNames.CONTENT_TYPE] = result.contentType
            response.headers()[HttpHeaderNames.CONTENT_LENGTH] = response.content().readableBytes()
            val isPersistent = HttpUtil.isKeepAlive(request)
            HttpUtil.setKeepAlive(response, isPersistent)
            val writeFuture = context.writeAndFlush(response)
            if (!isPersistent) writeFuture.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Deprecated in Netty's ChannelInboundHandler")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // A malformed request or a read timeout affects only this connection.
            context.close()
        }
    }

    private companion object {
        const val READ_TIMEOUT_SECONDS = 30
        const val MAX_BODY_BYTES = 1_024
        const val NOT_FOUND_STATUS = 404
    }
}
