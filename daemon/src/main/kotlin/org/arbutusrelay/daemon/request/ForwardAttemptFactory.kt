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

/** Makes attempts in other regions, each at one connected host of the region. */
public class ForwardAttemptFactory(
    private val network: LinkNetwork,
    private val responses: ForwardResponseDispatcher,
    private val threads: CoroutineDispatcher,
    private val clock: RelayClock,
    private val onDrop: (DropReason) -> Unit,
) : AttemptFactory {
    override fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): RunningAttempt =
        ForwardAttempt(request, placed.region, traceParent)

    private fun hostIn(region: String, request: ResolvedRequest): HostIdentity? =
        network.connected().values.filter { it.region == region }
            .maxByOrNull { (it.hostName to request.id).hashCode() }

    private inner class ForwardAttempt(
        private val request: ResolvedRequest,
        private val region: String,
        private val traceParent: String,
    ) : RunningAttempt {
        @Volatile
        private var pending: ForwardResponseDispatcher.Pending? = null
        private var nextSequence = 0L
        private var uncreditedBytes = 0L
        private var statusCode = 0

        override suspend fun run(listener: ResponseListener): AttemptEnd {
            val host = hostIn(region, request) ?: return notSent("no host of $region is connected")
            val opened = responses.open(host)
            pending = opened
            return try {
                val frame = LinkFrame(forwardRequest = request.toForward(opened.correlation))
                if (!network.send(host.hostName, frame)) return notSent("the link to ${host.hostName} takes nothing")
                receive(opened, listener)
            } catch (_: CallerDisconnectedException) {
                cancel()
                AttemptEnd.Cancelled(isCallerDisconnected = true, mayHaveRun = true)
            } finally {
                responses.close(opened)
            }
        }

        override fun cancel() {
            val opened = pending ?: return
            opened.events.trySend(ForwardEvent.LinkLost)
            if (!request.isIdempotent) return
            network.send(opened.host.hostName, LinkFrame(forwardCancel = ForwardCancel(opened.correlation)))
        }

        private suspend fun receive(opened: ForwardResponseDispatcher.Pending, listener: ResponseListener): AttemptEnd {
            while (true) {
                val remainingMs = request.runUntilMs - clock.nowMs()
                val received = withTimeoutOrNull(remainingMs) { opened.events.receiveCatching() }
                if (received == null) {
                    cancel()
                    return failed(ErrorKind.DEADLINE_EXCEEDED, AttemptResult.TIMED_OUT)
                }
                val end = when (val event = received.getOrNull()) {
                    is ForwardEvent.Head -> begin(event, listener)
                    is ForwardEvent.Chunk -> take(opened, event, listener)
                    is ForwardEvent.End -> return ended(event.end)
                    else -> broken()
                }
                if (end != null) return end
            }
        }

        private suspend fun begin(event: ForwardEvent.Head, listener: ResponseListener): AttemptEnd? {
            if (statusCode != 0) return null.also { onDrop(DropReason.DUPLICATE) }
            statusCode = event.head.statusCode.toInt()
            val head = ResponseHead(statusCode, event.head.contentType, event.head.backendServer)
            val isOwner = withContext(threads) { listener.onHead(head) }
            return if (isOwner) {
                null
            } else {
                AttemptEnd.Cancelled(isCallerDisconnected = false, mayHaveRun = true).also {
                    cancel()
                }
            }
        }

        private suspend fun take(
            opened: ForwardResponseDispatcher.Pending,
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
            withContext(threads) { listener.onData(event.chunk.data) }
            giveCredit(opened, event.chunk.data.size)
            return null
        }

        private fun giveCredit(opened: ForwardResponseDispatcher.Pending, bytes: Int) {
            uncreditedBytes += bytes
            if (uncreditedBytes < WINDOW_BYTES / CREDITS_PER_WINDOW) return
            val frame = LinkFrame(forwardCredit = ForwardCredit(opened.correlation, uncreditedBytes))
            // Credit that the full queue refuses is offered again with the next part.
            if (network.send(opened.host.hostName, frame)) uncreditedBytes = 0
        }

        private fun ended(end: ForwardEnd): AttemptEnd {
            val errorId = end.errorKind
            if (errorId == null) {
                val isWhole = end.chunks == nextSequence && statusCode != 0
                return if (isWhole) AttemptEnd.Complete(statusCode) else broken()
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
        private const val CREDITS_PER_WINDOW = 4
    }
}
