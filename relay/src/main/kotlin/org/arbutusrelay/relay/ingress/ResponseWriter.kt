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
 * Writes the response to one request; confined to the event loop.
 *
 * It takes ownership of the headers passed to it and removes hop-by-hop headers from them. [onEnd] is called once, when
 * the response is complete or aborted, with true when the connection stays open.
 */
internal class ResponseWriter(
    private val channel: Channel,
    private val isKeepAlive: () -> Boolean,
    private val onEnd: (Boolean) -> Unit,
) {
    /** True once the response head has been written. */
    var isStarted: Boolean = false
        private set

    /** What the response head announced; the connection keeps to it, because more requests may have been read. */
    private var isPersistent = false

    /** Called when the channel becomes writable again after [isWritable] was false. */
    var onWritable: () -> Unit = {}

    val isWritable: Boolean get() = channel.isWritable

    fun sendFull(statusCode: Int, headers: HttpHeaders, body: ByteArray) {
        if (isStarted) return
        isStarted = true
        isPersistent = isKeepAlive()
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(statusCode),
            Unpooled.wrappedBuffer(body),
            HopByHopHeaders.strip(headers),
            DefaultHttpHeaders(),
        )
        if (statusCode != NO_CONTENT_STATUS) response.headers()[HttpHeaderNames.CONTENT_LENGTH] = body.size
        if (!isPersistent) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        channel.writeAndFlush(response)
        onEnd(isPersistent)
    }

    fun startStream(statusCode: Int, headers: HttpHeaders) {
        isStarted = true
        isPersistent = isKeepAlive()
        val response = DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(statusCode),
            HopByHopHeaders.strip(headers),
        )
        response.headers()[HttpHeaderNames.TRANSFER_ENCODING] = "chunked"
        if (!isPersistent) response.headers()[HttpHeaderNames.CONNECTION] = "close"
        channel.write(response)
    }

    fun write(bytes: ByteArray) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    fun endStream() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        onEnd(isPersistent)
    }

    /** Closes the connection so that an incomplete response cannot be mistaken for a complete one. */
    fun abort() {
        channel.close()
        onEnd(false)
    }

    private companion object {
        const val NO_CONTENT_STATUS = 204
    }
}
