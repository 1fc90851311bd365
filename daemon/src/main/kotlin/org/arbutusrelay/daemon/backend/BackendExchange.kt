package org.arbutusrelay.daemon.backend

import okhttp3.Call
import okhttp3.Request
import okhttp3.Response
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** One attempt at a backend server, from the send to the end of the response. */
public class BackendExchange internal constructor(
    private val client: BackendClient,
    private val request: BackendRequest,
    private val resumeAttempts: Int,
    private val onDrop: (DropReason) -> Unit,
) {
    private val trace = SendTrace()
    private val activeCall = AtomicReference<Call>()
    private val isCancelled = AtomicBoolean(false)
    private val startNanos = System.nanoTime()
    private var isHeadDelivered = false

    /** Sends the request and blocks until the response has ended; runs once. */
    public fun run(listener: ResponseListener): AttemptEnd = try {
        val call = activate(request.toHttp(trace), isPooled = request.isIdempotent)
        call.execute().use { receive(it, listener) }
    } catch (_: CallerDisconnectedException) {
        cancel()
        AttemptEnd.Cancelled(isCallerDisconnected = true, mayHaveRun = trace.mayHaveReached)
    } catch (e: IOException) {
        failure(e)
    } catch (e: IllegalArgumentException) {
        // OkHttp refuses addresses and header names that it cannot write; nothing was sent then.
        if (trace.mayHaveReached) throw e
        refused(e.message.orEmpty())
    }

    /** Ends the attempt from any thread and cancels the run on an engine. */
    public fun cancel() {
        if (!isCancelled.compareAndSet(false, true)) return
        activeCall.get()?.cancel()
        if (request.isEngine && trace.mayHaveReached) client.cancelStream(request.address, request.requestId)
    }

    private fun activate(httpRequest: Request, isPooled: Boolean): Call {
        val call = client.newCall(httpRequest, isPooled, remainingMs())
        activeCall.set(call)
        if (isCancelled.get()) call.cancel()
        return call
    }

    private fun receive(response: Response, listener: ResponseListener): AttemptEnd {
        val echoed = response.header(REQUEST_ID)
        if (echoed != null && echoed != request.requestId) {
            onDrop(DropReason.FOREIGN)
            return failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "the response names another request")
        }
        if (response.header(OUTCOME) == NOT_RUN) return refused("status ${response.code}")
        if (response.code >= SERVER_ERROR) {
            return failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "status ${response.code}")
        }
        val head = ResponseHead(response.code, response.header("Content-Type").orEmpty())
        return when {
            head.isEventStream -> receiveEvents(response, head, listener)
            response.hasMarkedEnd() -> receiveBody(response, head, listener)
            else -> failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "the response has no marked end")
        }
    }

    private fun receiveBody(response: Response, head: ResponseHead, listener: ResponseListener): AttemptEnd {
        if (!begin(head, listener)) return superseded()
        val source = response.body.source()
        while (!source.exhausted()) {
            listener.onData(source.readByteArray(minOf(source.buffer.size, CHUNK_BYTES)))
        }
        return AttemptEnd.Complete(head.statusCode)
    }

    private fun receiveEvents(first: Response, head: ResponseHead, listener: ResponseListener): AttemptEnd {
        if (!begin(head, listener)) return superseded()
        val sequence = StreamSequence()
        if (copyEvents(first, sequence, listener)) return AttemptEnd.Complete(head.statusCode)
        repeat(resumeAttempts) {
            val position = sequence.last ?: return broken("it has no positions to resume from")
            val call = activate(request.toResume(position), isPooled = true)
            if (resume(call, sequence, listener)) return AttemptEnd.Complete(head.statusCode)
        }
        return broken("it could not be resumed after position ${sequence.last}")
    }

    private fun resume(call: Call, sequence: StreamSequence, listener: ResponseListener): Boolean = try {
        call.execute().use { it.isResumed() && copyEvents(it, sequence, listener) }
    } catch (e: IOException) {
        if (isCancelled.get() || remainingMs() <= 0) throw e
        false
    }

    /** Copies events until the end mark and returns true, or returns false when the stream broke before. */
    private fun copyEvents(response: Response, sequence: StreamSequence, listener: ResponseListener): Boolean {
        val reader = EventStreamReader(response.body.source())
        while (true) {
            val event = readEvent(reader) ?: return false
            when (val reason = sequence.dropReason(event.id)) {
                null -> listener.onData(event.bytes)
                DropReason.DUPLICATE -> onDrop(reason)
                else -> return false.also { onDrop(reason) }
            }
            if (event.isEnd) return true
        }
    }

    private fun readEvent(reader: EventStreamReader): StreamEvent? = try {
        reader.next()
    } catch (e: IOException) {
        if (isCancelled.get() || remainingMs() <= 0) throw e
        null
    }

    private fun begin(head: ResponseHead, listener: ResponseListener): Boolean {
        isHeadDelivered = listener.onHead(head)
        return isHeadDelivered
    }

    private fun superseded(): AttemptEnd {
        cancel()
        return AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = true)
    }

    private fun failure(cause: IOException): AttemptEnd {
        val detail = cause.message ?: cause.javaClass.simpleName
        return when {
            isCancelled.get() -> AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = trace.mayHaveReached)

            !trace.mayHaveReached -> refused(detail, unsentResult(cause))

            remainingMs() <= 0 -> {
                cancel()
                failed(ErrorKind.DEADLINE_EXCEEDED, AttemptResult.TIMED_OUT, ErrorKind.DEADLINE_EXCEEDED.title)
            }

            isHeadDelivered -> broken(detail)

            else -> failed(ErrorKind.BACKEND_FAILED, AttemptResult.CONNECTION_LOST, detail)
        }
    }

    // A pooled connection that broke before the first byte says less of the backend server than a failed connect.
    private fun unsentResult(cause: IOException): AttemptResult =
        if (cause is ConnectException) AttemptResult.UNREACHABLE else AttemptResult.CONNECTION_LOST

    private fun refused(detail: String, result: AttemptResult = AttemptResult.REFUSED): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.BACKEND_REFUSED, detail), result, mayHaveRun = false)

    private fun failed(kind: ErrorKind, result: AttemptResult, detail: String): AttemptEnd =
        AttemptEnd.Failed(RelayError(kind, detail), result, mayHaveRun = true)

    private fun broken(detail: String): AttemptEnd =
        failed(ErrorKind.STREAM_BROKEN, AttemptResult.CONNECTION_LOST, "the response broke off: $detail")

    private fun remainingMs(): Long = request.timeoutMs - (System.nanoTime() - startNanos) / NANOS_PER_MS

    private companion object {
        private const val REQUEST_ID = "Arbutus-Request-Id"
        private const val OUTCOME = "Arbutus-Outcome"
        private const val NOT_RUN = "not_run"
        private const val SERVER_ERROR = 500
        private const val CHUNK_BYTES = 16_384L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
