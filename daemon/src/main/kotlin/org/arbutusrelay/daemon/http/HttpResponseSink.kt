package org.arbutusrelay.daemon.http

import io.javalin.http.Context
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.CallerDisconnectedException
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.io.IOException

/**
 * Writes a response to its caller.
 *
 * A response that fails before its first byte is sent is replaced by a problem body. One that fails later ends with an
 * error event (event streams only) and a connection closed before the end of the body, so that the caller does not
 * treat it as complete.
 */
internal class HttpResponseSink(private val ctx: Context, private val requestId: String, private val region: String) :
    ResponseListener {
    private val response = ctx.res()
    private var isEventStream = false

    override fun onHead(head: ResponseHead): Boolean {
        response.status = head.statusCode
        ctx.status(head.statusCode)
        if (head.contentType.isNotEmpty()) response.contentType = head.contentType
        response.setHeader("Arbutus-Request-Id", requestId)
        response.setHeader("Arbutus-Outcome", "ran")
        response.setHeader("Arbutus-Region", region)
        isEventStream = head.isEventStream
        if (isEventStream) response.setHeader("Cache-Control", "no-store")
        return true
    }

    override fun onData(data: ByteArray) = writeToCaller {
        response.outputStream.write(data)
        if (isEventStream) response.outputStream.flush()
    }

    /** Ends the response; blocks until its last byte has been written to the connection. */
    fun finish(end: AttemptEnd) {
        try {
            when (end) {
                is AttemptEnd.Complete -> response.outputStream.close()
                is AttemptEnd.Failed -> sendError(end.error)
                is AttemptEnd.Cancelled -> closeConnection()
            }
        } catch (_: IOException) {
            closeConnection()
        }
    }

    private fun sendError(error: RelayError) {
        if (!response.isCommitted) {
            response.reset()
            ctx.status(error.kind.statusCode)
            response.writeProblem(error, requestId)
            response.outputStream.close()
            return
        }
        if (isEventStream) {
            val problem = error.toJson(requestId)
            response.outputStream.write("event: error\ndata: $problem\n\n".encodeToByteArray())
            response.outputStream.flush()
        }
        closeConnection()
    }

    private fun closeConnection() {
        ServletContextRequest.getServletContextRequest(ctx.req()).connectionMetaData.connection.endPoint.close()
    }

    private inline fun writeToCaller(write: () -> Unit) = try {
        write()
    } catch (e: IOException) {
        throw CallerDisconnectedException(e)
    }
}
