package org.arbutusrelay.relay.ingress

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit

/**
 * Closes a connection after a response that its caller may not have read yet, although it still sends.
 *
 * A socket that is closed with unread bytes is reset, which may destroy the response on its way. What still arrives is
 * therefore read and dropped, until the caller closes, [MAX_BYTES] have arrived or [MAX_MS] have passed. Source: RFC
 * 9112, section 9.6.
 */
internal class LingeringClose : ChannelInboundHandlerAdapter() {
    private var droppedBytes = 0L

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        droppedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
        ReferenceCountUtil.release(message)
        if (droppedBytes > MAX_BYTES) context.close()
    }

    companion object {
        /** As long as the longest body while no document states another limit. */
        private const val MAX_BYTES = 4L * 1024 * 1024

        /** Several round trips between a caller and its host. */
        private const val MAX_MS = 500L

        /** Ends the output of the connection of [context] and closes it later; call it once the response is written. */
        fun begin(context: ChannelHandlerContext) {
            val channel = context.channel()
            if (!channel.isActive || channel !is DuplexChannel) {
                channel.close()
                return
            }
            context.pipeline().addFirst(LingeringClose())
            channel.config().isAutoRead = true
            channel.shutdownOutput()
            context.executor().schedule({ channel.close() }, MAX_MS, TimeUnit.MILLISECONDS)
        }
    }
}
