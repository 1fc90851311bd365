package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.manifest.ManifestService
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.schema.manifest.Service
import org.arbutusrelay.schema.message.ForwardRequest
import org.arbutusrelay.schema.message.LinkFrame
import java.util.concurrent.ConcurrentHashMap

/**
 * Serves the requests that hosts of other regions forward to this one.
 *
 * A request is refused (`not_run`) unless it comes straight from the entry host that accepted it, was decided by the
 * manifest in force here, and may be processed in this region. It is never sent on.
 */
public class ForwardServer(
    private val network: LinkNetwork,
    private val manifests: ManifestService,
    private val resolver: RequestResolver,
    private val pipeline: RequestPipeline,
    private val inFlight: InFlightRequests,
    private val tracing: Tracing,
    private val clock: RelayClock,
    private val scope: CoroutineScope,
) : FrameReceiver {
    private val received = LinkedHashSet<Pair<HostIdentity, Long>>()
    private val served = ConcurrentHashMap<Pair<HostIdentity, Long>, ForwardSink>()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.forwardRequest?.let { begin(from, it) }
        frame.forwardCredit?.let { served[from to it.correlation]?.addCredit(it.creditBytes) }
        frame.forwardCancel?.let { served[from to it.correlation]?.abandon() }
    }

    override fun onLinkDown(host: HostIdentity) {
        served.filterKeys { it.first == host }.values.forEach(ForwardSink::abandon)
    }

    private fun begin(from: HostIdentity, forward: ForwardRequest) {
        val lateMs = if (forward.isGranted) ResolvedRequest.LATE_RUN_MS else 0
        val deadlineMs = clock.nowMs() + forward.remainingMs + lateMs
        val sink = ForwardSink(network, from, forward, deadlineMs, clock)
        if (!isFirst(from, forward.correlation)) return
        served[from to forward.correlation] = sink
        inFlight.tryAdmit().fold(
            { error ->
                served.remove(from to forward.correlation)
                scope.launch { sink.end(error) }
            },
            { slot -> scope.launch { slot.use { serve(from, forward, sink) } } },
        )
    }

    /** Returns false for a request that was received before; running it again could break at-most-once. */
    private fun isFirst(from: HostIdentity, correlation: Long): Boolean = synchronized(received) {
        if (!received.add(from to correlation)) return false
        if (received.size > MAX_REMEMBERED) received.remove(received.first())
        true
    }

    private suspend fun serve(from: HostIdentity, forward: ForwardRequest, sink: ForwardSink) {
        val end = try {
            resolve(from, forward).fold(
                { AttemptEnd.Failed(it, AttemptResult.REFUSED, mayHaveRun = false) },
                { pipeline.run(it, sink) },
            )
        } finally {
            served.remove(from to forward.correlation)
        }
        when (end) {
            is AttemptEnd.Complete -> sink.end(null)
            is AttemptEnd.Failed -> sink.end(end.error)
            is AttemptEnd.Cancelled -> Unit
        }
    }

    private suspend fun resolve(from: HostIdentity, forward: ForwardRequest): Either<RelayError, ResolvedRequest> =
        either {
            ensure(isFirstHop(from, forward)) {
                RelayError(ErrorKind.FORWARD_REFUSED, "path ${forward.path.joinToString()} to ${network.self.hostName}")
            }
            val manifest = matchingManifest(forward.manifestNumber)
            val incoming = incoming(manifest, forward)
            val id = ensureNotNull(requestIdOf(forward.requestId)) { RelayError(ErrorKind.MALFORMED_REQUEST) }
            val span = tracing.startRemote("forwarded", forward.traceParent)
            val origin = ForwardedFrom(forward.remainingMs, forward.path, forward.isGranted)
            val request = resolver.resolve(incoming, id, manifest, span, origin).bind()
            ensure(network.self.region in request.profile.allowedRegions) {
                RelayError(ErrorKind.FORWARD_REFUSED, "the region ${network.self.region} is not allowed")
            }
            ensure(request.isIdempotent || forward.isGranted) {
                RelayError(ErrorKind.FORWARD_REFUSED, "the request kind needs a ledger grant")
            }
            request
        }

    private fun isFirstHop(from: HostIdentity, forward: ForwardRequest): Boolean =
        forward.path.singleOrNull() == from.hostName && network.self.hostName !in forward.path &&
            from.region != network.self.region

    private suspend fun Raise<RelayError>.matchingManifest(number: Long): ManifestView {
        if (number > (manifests.current?.number ?: 0)) manifests.awaitNumber(number, MANIFEST_WAIT_MS)
        val manifest = ensureNotNull(manifests.current) { RelayError(ErrorKind.NOT_READY) }
        ensure(manifest.number == number) {
            RelayError(ErrorKind.MANIFEST_STALE, "decided by manifest $number, in force here is ${manifest.number}")
        }
        return manifest
    }

    private fun Raise<RelayError>.incoming(manifest: ManifestView, forward: ForwardRequest): IncomingRequest {
        val caller = ensureNotNull(manifest.caller(forward.caller)) { RelayError(ErrorKind.UNAUTHENTICATED) }
        val isEngine = manifest.service(forward.service)?.service?.type == Service.Type.ENGINE
        val chat = if (isEngine) ChatBody.parse(forward.body).bind() else null
        return IncomingRequest(
            caller, forward.service, forward.kind, null, forward.method, forward.target, forward.headers, forward.body,
            chat?.prompt.orEmpty(), chat?.maxTokens ?: 0, isEngine,
        )
    }

    private fun requestIdOf(text: String): RequestId? {
        val parts = text.split('-')
        val epoch = parts.getOrNull(parts.size - 2)?.toLongOrNull(HEX) ?: return null
        val number = parts.last().toLongOrNull(HEX) ?: return null
        return RequestId(parts.dropLast(2).joinToString("-"), epoch, number)
    }

    private companion object {
        private const val HEX = 16
        private const val MAX_REMEMBERED = 65_536
        private const val MANIFEST_WAIT_MS = 500L
    }
}
