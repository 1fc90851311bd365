package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.ResponseWriter
import java.util.Locale

/** A complete response of a backend server. */
internal class FullResponse(val head: BackendHead, val body: ByteArray)

/** Writes the response to a request: that of a backend server, or an error of the relay. */
internal class CallerResponse(private val request: IngressRequest, private val writer: ResponseWriter) {
    private var streamHead: BackendHead? = null

    /** Software version of the server that sends the stream, for the host that forwarded the request. */
    var softwareVersion: String = ""

    /** True once the response head has been written to the caller. */
    val isStarted: Boolean get() = writer.isStarted

    val isWritable: Boolean get() = writer.isWritable

    /** Calls [action] when the connection to the caller becomes writable again. */
    fun onWritable(action: () -> Unit) {
        writer.onWritable = action
    }

    fun sendFull(response: FullResponse): Unit =
        writer.sendFull(response.head.statusCode, endToEndHeaders(response.head), response.body)

    fun sendError(error: RelayError) {
        val headers = DefaultHttpHeaders()
        error.retryAfterMs?.let { headers["Retry-After"] = "%.3f".format(Locale.ROOT, it / MS_PER_SECOND) }
        if (request.isForwarded) ForwardHeaders.putOutcome(headers, error.kind.outcome)
        putSource(headers)
        headers["Content-Type"] = "text/plain"
        writer.sendFull(error.kind.statusCode, headers, "${error.kind.id}: ${error.detail}\n".encodeToByteArray())
    }

    /** Writes [events]; the first call sends [head]. A resumed stream keeps the head of the first backend server. */
    fun writeEvents(head: BackendHead, events: ByteArray) {
        startStream(head)
        writer.write(events)
    }

    fun endStream(head: BackendHead) {
        startStream(head)
        writer.endStream()
    }

    /** Returns false if a stream has begun that a response with [head] cannot continue. */
    fun mayContinueWith(head: BackendHead): Boolean = !isStarted || (
        head.statusCode == streamHead?.statusCode && head.statusCode == OK_STATUS &&
            mediaTypeOf(head) == streamHead?.let(::mediaTypeOf)
        )

    private fun startStream(head: BackendHead) {
        if (writer.isStarted) return
        streamHead = head
        writer.startStream(head.statusCode, endToEndHeaders(head))
    }

    private fun mediaTypeOf(head: BackendHead) =
        head.headers["Content-Type"].orEmpty().substringBefore(';').trim().lowercase()

    /** Closes the connection so that the caller detects the incomplete response. */
    fun abort(): Unit = writer.abort()

    private fun endToEndHeaders(head: BackendHead): HttpHeaders =
        head.headers.copy().also(ForwardHeaders::removeFrom).also(::putSource)

    private fun putSource(headers: HttpHeaders) {
        val sendId = ForwardHeaders.sendIdOf(request.headers)?.takeIf { request.isForwarded } ?: return
        ForwardHeaders.putSource(headers, sendId, softwareVersion)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val OK_STATUS = 200
    }
}
