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
 * Processes requests that hosts of other regions forward to this host.
 *
 * A request is refused (`not_run`) unless it comes directly from its entry host, was resolved against the manifest in
 * force on this host and may be processed in this region. It is never forwarded again.
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
    private val activeSenders = ConcurrentHashMap<Pair<HostIdentity, Long>, ForwardResponseSender>()

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.forwardRequest?.let { accept(from, it) }
        frame.forwardCredit?.let { activeSenders[from to it.correlation]?.addCredit(it.creditBytes) }
        frame.forwardCancel?.let { activeSenders[from to it.correlation]?.cancel() }
    }

    override fun onLinkDown(host: HostIdentity) {
        activeSenders.filterKeys { it.first == host }.values.forEach(ForwardResponseSender::cancel)
    }

    private fun accept(from: HostIdentity, forward: ForwardRequest) {
        val overrunMs = if (forward.isGranted) ResolvedRequest.MAX_RUN_AFTER_DEADLINE_MS else 0
        val deadlineMs = clock.nowMs() + forward.remainingMs + overrunMs
        val sender = ForwardResponseSender(network, from, forward, deadlineMs, clock)
        if (!registerReceived(from, forward.correlation)) return
        activeSenders[from to forward.correlation] = sender
        inFlight.tryAdmit().fold(
            { error ->
                activeSenders.remove(from to forward.correlation)
                scope.launch { sender.end(error) }
            },
            { slot -> scope.launch { slot.use { serve(from, forward, sender) } } },
        )
    }

    /** Registers a request; returns false for a duplicate, which must not run again (at-most-once). */
    private fun registerReceived(from: HostIdentity, correlation: Long): Boolean = synchronized(received) {
        if (!received.add(from to correlation)) return false
        if (received.size > MAX_RECEIVED_IDS) received.remove(received.first())
        true
    }

    private suspend fun serve(from: HostIdentity, forward: ForwardRequest, sender: ForwardResponseSender) {
        val end = try {
            resolve(from, forward).fold(
                { AttemptEnd.Failed(it, AttemptResult.REFUSED, mayHaveRun = false) },
                { pipeline.run(it, sender) },
            )
        } finally {
            activeSenders.remove(from to forward.correlation)
        }
        when (end) {
            is AttemptEnd.Complete -> sender.end(null)
            is AttemptEnd.Failed -> sender.end(end.error)
            is AttemptEnd.Cancelled -> Unit
        }
    }

    private suspend fun resolve(from: HostIdentity, forward: ForwardRequest): Either<RelayError, ResolvedRequest> =
        either {
            ensure(isSingleHop(from, forward)) {
                RelayError(ErrorKind.FORWARD_REFUSED, "path ${forward.path.joinToString()} to ${network.self.hostName}")
            }
            val manifest = awaitMatchingManifest(forward.manifestNumber)
            val incoming = incoming(manifest, forward)
            val id = ensureNotNull(parseRequestId(forward.requestId)) { RelayError(ErrorKind.MALFORMED_REQUEST) }
            val span = tracing.startRemote("forwarded", forward.traceParent)
            val origin = ForwardOrigin(forward.remainingMs, forward.path, forward.isGranted)
            val request = resolver.resolve(incoming, id, manifest, span, origin).bind()
            ensure(network.self.region in request.profile.allowedRegions) {
                RelayError(ErrorKind.FORWARD_REFUSED, "the region ${network.self.region} is not allowed")
            }
            ensure(request.isIdempotent || forward.isGranted) {
                RelayError(ErrorKind.FORWARD_REFUSED, "the request kind needs a ledger grant")
            }
            request
        }

    private fun isSingleHop(from: HostIdentity, forward: ForwardRequest): Boolean =
        forward.path.singleOrNull() == from.hostName && network.self.hostName !in forward.path &&
            from.region != network.self.region

    private suspend fun Raise<RelayError>.awaitMatchingManifest(number: Long): ManifestView {
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

    private fun parseRequestId(text: String): RequestId? {
        val parts = text.split('-')
        val epoch = parts.getOrNull(parts.size - 2)?.toLongOrNull(HEX_RADIX) ?: return null
        val number = parts.last().toLongOrNull(HEX_RADIX) ?: return null
        return RequestId(parts.dropLast(2).joinToString("-"), epoch, number)
    }

    private companion object {
        private const val HEX_RADIX = 16
        private const val MAX_RECEIVED_IDS = 65_536
        private const val MANIFEST_WAIT_MS = 500L
    }
}
