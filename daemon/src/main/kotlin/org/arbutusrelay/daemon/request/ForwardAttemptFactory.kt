package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.CallerDisconnectedException
import org.arbutusrelay.daemon.backend.DropReason
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.ForwardCancel
import org.arbutusrelay.schema.message.ForwardCredit
import org.arbutusrelay.schema.message.ForwardEnd
import org.arbutusrelay.schema.message.ForwardRequest
import org.arbutusrelay.schema.message.LinkFrame

/** Creates attempts that forward a request to a connected host of another region. */
public class ForwardAttemptFactory(
    private val network: LinkNetwork,
    private val responses: ForwardResponseDispatcher,
    private val dispatcher: CoroutineDispatcher,
    private val clock: RelayClock,
    private val onDrop: (DropReason) -> Unit,
) : AttemptFactory {
    override fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): CancellableAttempt =
        ForwardAttempt(request, placed.region, traceParent)

    private fun selectHost(region: String, request: ResolvedRequest): HostIdentity? =
        network.connected().values.filter { it.region == region }
            .maxByOrNull { (it.hostName to request.id).hashCode() }

    private inner class ForwardAttempt(
        private val request: ResolvedRequest,
        private val region: String,
        private val traceParent: String,
    ) : CancellableAttempt {
        @Volatile
        private var pending: ForwardResponseDispatcher.Pending? = null
        private var nextSequence = 0L
        private var uncreditedBytes = 0L
        private var statusCode = 0

        override suspend fun run(listener: ResponseListener): AttemptEnd {
            val host = selectHost(region, request) ?: return notSent("no host of $region is connected")
            val forward = responses.register(host)
            pending = forward
            return try {
                val frame = LinkFrame(forwardRequest = request.toForward(forward.correlation))
                if (!network.send(host.hostName, frame)) return notSent("the link to ${host.hostName} takes nothing")
                receive(forward, listener)
            } catch (_: CallerDisconnectedException) {
                cancel()
                AttemptEnd.Cancelled(isCallerDisconnected = true, mayHaveRun = true)
            } finally {
                responses.unregister(forward)
            }
        }

        override fun cancel() {
            val forward = pending ?: return
            forward.events.trySend(ForwardEvent.Aborted)
            if (!request.isIdempotent) return
            network.send(forward.host.hostName, LinkFrame(forwardCancel = ForwardCancel(forward.correlation)))
        }

        private suspend fun receive(
            forward: ForwardResponseDispatcher.Pending,
            listener: ResponseListener,
        ): AttemptEnd {
            while (true) {
                val remainingMs = request.runDeadlineMs - clock.nowMs()
                val received = withTimeoutOrNull(remainingMs) { forward.events.receiveCatching() }
                if (received == null) {
                    cancel()
                    return failed(ErrorKind.DEADLINE_EXCEEDED, AttemptResult.TIMED_OUT)
                }
                val end = when (val event = received.getOrNull()) {
                    is ForwardEvent.Head -> handleHead(event, listener)
                    is ForwardEvent.Chunk -> handleChunk(forward, event, listener)
                    is ForwardEvent.End -> return handleEnd(event.end)
                    else -> broken()
                }
                if (end != null) return end
            }
        }

        private suspend fun handleHead(event: ForwardEvent.Head, listener: ResponseListener): AttemptEnd? {
            if (statusCode != 0) return null.also { onDrop(DropReason.DUPLICATE) }
            statusCode = event.head.statusCode.toInt()
            val head = ResponseHead(statusCode, event.head.contentType, event.head.backendServer)
            val isOwner = withContext(dispatcher) { listener.onHead(head) }
            return if (isOwner) {
                null
            } else {
                AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = true).also {
                    cancel()
                }
            }
        }

        private suspend fun handleChunk(
            forward: ForwardResponseDispatcher.Pending,
            event: ForwardEvent.Chunk,
            listener: ResponseListener,
        ): AttemptEnd? {
            val sequence = event.chunk.sequence
            if (sequence < nextSequence) return null.also { onDrop(DropReason.DUPLICATE) }
            if (sequence > nextSequence || statusCode == 0) {
                onDrop(DropReason.OUT_OF_ORDER)
                cancel()
                return broken()
            }
            nextSequence++
            withContext(dispatcher) { listener.onData(event.chunk.data) }
            grantCredit(forward, event.chunk.data.size)
            return null
        }

        private fun grantCredit(forward: ForwardResponseDispatcher.Pending, bytes: Int) {
            uncreditedBytes += bytes
            if (uncreditedBytes < WINDOW_BYTES / CREDIT_FRAMES_PER_WINDOW) return
            val frame = LinkFrame(forwardCredit = ForwardCredit(forward.correlation, uncreditedBytes))
            // If the send queue is full, the credit is sent with the next chunk.
            if (network.send(forward.host.hostName, frame)) uncreditedBytes = 0
        }

        private fun handleEnd(end: ForwardEnd): AttemptEnd {
            val errorId = end.errorKind
            if (errorId == null) {
                val isComplete = end.chunks == nextSequence && statusCode != 0
                return if (isComplete) AttemptEnd.Complete(statusCode) else broken()
            }
            val kind = ErrorKind.ofId(errorId) ?: ErrorKind.BACKEND_FAILED
            val mayHaveRun = kind.outcome != Outcome.NOT_RUN || statusCode != 0
            val result = if (mayHaveRun) AttemptResult.SERVER_ERROR else AttemptResult.REFUSED
            val reported = if (mayHaveRun && kind.outcome == Outcome.NOT_RUN) ErrorKind.STREAM_BROKEN else kind
            return AttemptEnd.Failed(RelayError(reported, "$region: ${end.detail ?: kind.title}"), result, mayHaveRun)
        }

        private fun notSent(detail: String): AttemptEnd =
            AttemptEnd.Failed(RelayError(ErrorKind.REGION_UNREACHABLE, detail), AttemptResult.REFUSED, false)

        private fun broken(): AttemptEnd = failed(ErrorKind.STREAM_BROKEN, AttemptResult.CONNECTION_LOST)

        private fun failed(kind: ErrorKind, result: AttemptResult): AttemptEnd =
            AttemptEnd.Failed(RelayError(kind, "$region: ${kind.title}"), result, mayHaveRun = true)

        private fun ResolvedRequest.toForward(correlation: Long): ForwardRequest = ForwardRequest(
            correlation = correlation,
            requestId = id.toString(),
            manifestNumber = manifestNumber,
            remainingMs = (deadlineMs - clock.nowMs()).coerceAtLeast(0),
            path = path + network.self.hostName,
            caller = incoming.caller.name,
            service = service.service.name,
            kind = kind.kind.name,
            isGranted = !isIdempotent,
            method = incoming.method,
            target = incoming.target,
            headers = incoming.headers,
            body = incoming.body,
            creditBytes = WINDOW_BYTES,
            traceParent = traceParent,
        )
    }

    private companion object {
        private const val WINDOW_BYTES = 262_144L
        private const val CREDIT_FRAMES_PER_WINDOW = 4
    }
}
