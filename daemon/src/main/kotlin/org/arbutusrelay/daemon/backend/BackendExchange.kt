package org.arbutusrelay.daemon.backend

import okhttp3.Call
import okhttp3.Request
import okhttp3.Response
import okio.buffer
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.EmbeddedHeadRule
import org.arbutusrelay.core.relay.JoinedHeads
import org.arbutusrelay.core.relay.SecondResponseScanner
import org.arbutusrelay.core.routing.AttemptResult
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** A single request to a backend server and its response. */
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

    /** Sends the request and blocks until the response ends; may be called only once. */
    public fun run(listener: ResponseListener): AttemptEnd = try {
        val isPooled = request.isIdempotent && client.mayReuseConnections(request.address)
        val call = activate(request.toHttpRequest(trace), isPooled)
        call.execute().use { receive(it, listener) }
    } catch (_: CallerDisconnectedException) {
        cancel()
        AttemptEnd.Cancelled(isCallerDisconnected = true, mayHaveRun = trace.mayHaveBeenSent)
    } catch (e: IOException) {
        classifyFailure(e)
    } catch (e: IllegalArgumentException) {
        // OkHttp rejects invalid addresses and header names before it sends anything.
        if (trace.mayHaveBeenSent) throw e
        refused(e.message.orEmpty())
    }

    /** Cancels the exchange and, on an engine, the run; may be called from any thread. */
    public fun cancel() {
        if (!isCancelled.compareAndSet(false, true)) return
        activeCall.get()?.cancel()
        if (request.isEngine && trace.mayHaveBeenSent) client.cancelStream(request.address, request.requestId)
    }

    private fun activate(httpRequest: Request, isPooled: Boolean): Call {
        val call = client.newCall(httpRequest, isPooled, remainingMs())
        activeCall.set(call)
        if (isCancelled.get()) call.cancel()
        return call
    }

    private fun receive(response: Response, listener: ResponseListener): AttemptEnd {
        foreignResponse(response)?.let {
            onDrop(DropReason.FOREIGN)
            return it
        }
        val isDefined = response.code in STATUSES
        if (isDefined && response.header(OUTCOME_HEADER) == NOT_RUN) return refused("status ${response.code}")
        if (!isDefined || response.code >= SERVER_ERROR) {
            return failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "status ${response.code}")
        }
        val head = ResponseHead(response.code, response.header("Content-Type").orEmpty())
        return when {
            head.isEventStream -> receiveEvents(response, head, listener)
            response.hasDelimitedBody() -> receiveBody(response, head, listener)
            else -> failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "the response has no marked end")
        }
    }

    /** Returns the failure of a [response] that is, or may be, one to another request; null for one of this request. */
    private fun foreignResponse(response: Response): AttemptEnd? {
        val id = response.header(REQUEST_ID_HEADER)
        if (id == null) client.recordAnonymousResponse(request.address)
        val headTexts = sequenceOf(response.message) + response.headers.asSequence().map { it.second }
        return when {
            JoinedHeads.isJoined(headTexts) -> {
                activeCall.get()?.cancel()
                failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "the head contains another one")
            }

            id != null && id != request.requestId ->
                failed(ErrorKind.BACKEND_FAILED, AttemptResult.SERVER_ERROR, "the response names another request")

            id == null && trace.isConnectionReused -> {
                val detail = "the response on a connection that was used before names no request"
                failed(ErrorKind.BACKEND_FAILED, AttemptResult.CONNECTION_LOST, detail)
            }

            else -> null
        }
    }

    private fun receiveBody(response: Response, head: ResponseHead, listener: ResponseListener): AttemptEnd {
        if (!deliverHead(head, listener)) return superseded()
        val source = response.body.source()
        val scanner = SecondResponseScanner(BodyHeads)
        while (!source.exhausted()) {
            deliver(scanner.push(source.readByteArray(minOf(source.buffer.size, CHUNK_BYTES))), listener)
            if (scanner.secondHead != null) return brokenBySecondResponse()
        }
        // The bytes behind the body can't be seen here, and hardly any body ends like this.
        if (scanner.endsInsideHead && response.header("Content-Length") != null) return brokenBySecondResponse()
        deliver(scanner.takeHeld(), listener)
        return AttemptEnd.Complete(head.statusCode)
    }

    private fun deliver(data: ByteArray, listener: ResponseListener) {
        if (data.isNotEmpty()) listener.onData(data)
    }

    private fun brokenBySecondResponse(): AttemptEnd {
        onDrop(DropReason.FOREIGN)
        activeCall.get()?.cancel()
        return streamBroken("a second response follows")
    }

    private fun receiveEvents(first: Response, head: ResponseHead, listener: ResponseListener): AttemptEnd {
        if (!deliverHead(head, listener)) return superseded()
        val sequence = StreamSequence()
        if (copyEvents(first, sequence, listener)) return AttemptEnd.Complete(head.statusCode)
        repeat(resumeAttempts) {
            val position = sequence.lastPosition ?: return streamBroken("it has no positions to resume from")
            // On a connection that was used before, a late copy of another response could continue the stream.
            val call = activate(request.toResumeRequest(position), isPooled = false)
            if (resume(call, sequence, listener)) return AttemptEnd.Complete(head.statusCode)
        }
        return streamBroken("it could not be resumed after position ${sequence.lastPosition}")
    }

    private fun resume(call: Call, sequence: StreamSequence, listener: ResponseListener): Boolean = try {
        call.execute().use { it.isResumedStream() && copyEvents(it, sequence, listener) }
    } catch (e: IOException) {
        if (isCancelled.get() || remainingMs() <= 0) throw e
        false
    }

    /** Copies events up to the end-of-stream event; returns false if the stream breaks off before it. */
    private fun copyEvents(response: Response, sequence: StreamSequence, listener: ResponseListener): Boolean {
        val reader = EventStreamReader(SingleResponseSource(response.body.source()).buffer())
        while (true) {
            val event = readEvent(reader) ?: return false
            when (val reason = sequence.dropReason(event)) {
                null -> listener.onData(event.bytes)
                DropReason.DUPLICATE -> onDrop(reason)
                else -> return false.also { onDrop(reason) }
            }
            if (event.isEndOfStream) return true
        }
    }

    private fun readEvent(reader: EventStreamReader): StreamEvent? = try {
        reader.next()
    } catch (e: IOException) {
        if (isCancelled.get() || remainingMs() <= 0) throw e
        null
    }

    private fun deliverHead(head: ResponseHead, listener: ResponseListener): Boolean {
        isHeadDelivered = listener.onHead(head)
        return isHeadDelivered
    }

    private fun superseded(): AttemptEnd {
        cancel()
        return AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = true)
    }

    private fun classifyFailure(cause: IOException): AttemptEnd {
        val detail = cause.message ?: cause.javaClass.simpleName
        return when {
            isCancelled.get() -> AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = trace.mayHaveBeenSent)

            !trace.mayHaveBeenSent -> refused(detail, resultOfUnsentCall(cause))

            remainingMs() <= 0 -> {
                cancel()
                failed(ErrorKind.DEADLINE_EXCEEDED, AttemptResult.TIMED_OUT, ErrorKind.DEADLINE_EXCEEDED.title)
            }

            isHeadDelivered -> streamBroken(detail)

            else -> failed(ErrorKind.BACKEND_FAILED, AttemptResult.CONNECTION_LOST, detail)
        }
    }

    // A pooled connection that breaks before the first byte is weaker evidence of an outage than a failed connect.
    private fun resultOfUnsentCall(cause: IOException): AttemptResult =
        if (cause is ConnectException) AttemptResult.UNREACHABLE else AttemptResult.CONNECTION_LOST

    private fun refused(detail: String, result: AttemptResult = AttemptResult.REFUSED): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.BACKEND_REFUSED, detail), result, mayHaveRun = false)

    private fun failed(kind: ErrorKind, result: AttemptResult, detail: String): AttemptEnd =
        AttemptEnd.Failed(RelayError(kind, detail), result, mayHaveRun = true)

    private fun streamBroken(detail: String): AttemptEnd =
        failed(ErrorKind.STREAM_BROKEN, AttemptResult.CONNECTION_LOST, "the response broke off: $detail")

    private fun remainingMs(): Long = request.timeoutMs - (System.nanoTime() - startNanos) / NANOS_PER_MS

    /** A head that names no request may be quoted. */
    private object BodyHeads : EmbeddedHeadRule {
        override val isEventStream: Boolean = false

        override fun namesRequest(name: String): Boolean = name.equals(REQUEST_ID_HEADER, ignoreCase = true)
    }

    private companion object {
        private const val REQUEST_ID_HEADER = "Arbutus-Request-Id"
        private const val OUTCOME_HEADER = "Arbutus-Outcome"
        private const val NOT_RUN = "not_run"
        private const val SERVER_ERROR = 500

        /** Final statuses of HTTP (RFC 9110, section 15); a server in trouble may send others. */
        private val STATUSES = 200..599
        private const val CHUNK_BYTES = 16_384L
        private const val NANOS_PER_MS = 1_000_000L
    }
}
