package org.arbutusrelay.relay.ingress

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * Writes the response to one request; used on the event loop.
 *
 * Headers that it is given are its own from then on; what concerns one connection only is taken out of them. [onEnd] is
 * called once, when the response is complete or aborted, and tells whether the connection is kept.
 */
internal class ResponseWriter(
    private val channel: Channel,
    private val isKeepAlive: () -> Boolean,
    private val onEnd: (Boolean) -> Unit,
) {
    /** True once the head has been sent. */
    var isStarted: Boolean = false
        private set

    /** Called when the caller takes more bytes again after [isWritable] was false. */
    var onWritable: () -> Unit = {}

    val isWritable: Boolean get() = channel.isWritable

    fun sendWhole(statusCode: Int, headers: HttpHeaders, body: ByteArray) {
        if (isStarted) return
        isStarted = true
        val isKept = isKeepAlive()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(statusCode),
            Unpooled.wrappedBuffer(body),
            HopHeaders.strip(headers),
            DefaultHttpHeaders(),
        )
        if (statusCode != NO_CONTENT) response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.size
        if (!isKept) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        channel.writeAndFlush(response)
        onEnd(isKept)
    }

    fun startStream(statusCode: Int, headers: HttpHeaders) {
        isStarted = true
        val response = DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(statusCode),
            HopHeaders.strip(headers),
        )
        response.headers()[HttpHeaderNames.TRANSFER_ENCODING] = "chunked"
        if (!isKeepAlive()) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        channel.write(response)
    }

    fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    fun endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        onEnd(isKeepAlive())
    }

    /** Ends the connection, so that an unfinished response cannot look complete. */
    fun abort() {
        channel.close()
        onEnd(false)
    }

    private companion object {
        const val NO_CONTENT = 204
    }
}
