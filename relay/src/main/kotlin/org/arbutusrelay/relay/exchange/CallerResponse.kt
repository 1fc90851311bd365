package org.arbutusrelay.relay.exchange

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.relay.backend.BackendHead
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.ResponseWriter
import java.util.Locale

/** A backend server's response that arrived in full. */
internal class WholeAnswer(val head: BackendHead, val body: ByteArray)

/** Writes the one response to a request: a backend server's own, or an error of this system. */
internal class CallerResponse(private val request: IngressRequest, private val writer: ResponseWriter) {
    /** True once the caller has got a part of a backend server's response. */
    val isStarted: Boolean get() = writer.isStarted

    val isWritable: Boolean get() = writer.isWritable

    /** Calls [action] when the caller takes more bytes again. */
    fun onWritable(action: () -> Unit) {
        writer.onWritable = action
    }

    fun deliver(answer: WholeAnswer): Unit =
        writer.sendWhole(answer.head.statusCode, endToEnd(answer.head), answer.body)

    fun refuse(error: RelayError) {
        val headers = DefaultHttpHeaders()
        error.retryAfterMs?.let { headers["Retry-After"] = "%.3f".format(Locale.ROOT, it / MS_PER_S) }
        if (request.isForwarded) ForwardHeaders.putOutcome(headers, error.kind.outcome)
        headers["Content-Type"] = "text/plain"
        writer.sendWhole(error.kind.statusCode, headers, "${error.kind.id}: ${error.detail}\n".encodeToByteArray())
    }

    /** Writes [events]; the first call sends the head, which stays that of the first backend server. */
    fun writeStream(head: BackendHead, events: ByteArray) {
        if (!writer.isStarted) writer.startStream(head.statusCode, endToEnd(head))
        writer.write(events)
    }

    fun endStream(head: BackendHead) {
        if (!writer.isStarted) writer.startStream(head.statusCode, endToEnd(head))
        writer.endStream()
    }

    /** Ends the connection, so that the caller sees that the response is not complete. */
    fun abort(): Unit = writer.abort()

    private fun endToEnd(head: BackendHead): HttpHeaders =
        head.headers.copy().also { if (!request.isForwarded) ForwardHeaders.removeFrom(it) }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
