package org.arbutusrelay.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses of a connection, and passes on bytes that lie outside of them as they are.
 *
 * Netty's decoder keeps such bytes until they are a line, so that a connection looks idle although a part of a response
 * lies on it.
 */
internal class BackendResponseDecoder : HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES) {
    /** Receives the bytes that come in place of a response; null while a response is due. */
    var rawReceiver: ((ByteArray) -> Unit)? = null

    /** True if the response is one to a HEAD request, which has no body whatever its head states. */
    var isHeadRequest: Boolean = false

    /** True if bytes have arrived that are no part of a response so far. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val receiver = rawReceiver ?: return super.decode(context, buffer, out)
        receiver(ByteArray(buffer.readableBytes()).also(buffer::readBytes))
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val isFinal = message is HttpResponse && message.status().code() >= MIN_FINAL_STATUS
        return (isHeadRequest && isFinal) || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val MIN_FINAL_STATUS = 200
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
    }
}
