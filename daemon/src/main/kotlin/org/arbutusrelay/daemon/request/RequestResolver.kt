package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.arbutusrelay.core.digest.sha256Hex
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.observe.HopSpan
import org.arbutusrelay.schema.manifest.Service

/** Looks up the service and kind of a request and computes its deadline, allowed regions and routing profile. */
public class RequestResolver(private val clock: RelayClock, private val ownRegion: String) {
    /** Resolves a request that this host received from its caller. */
    public fun resolve(
        incoming: IncomingRequest,
        id: RequestId,
        manifest: ManifestView,
        span: HopSpan,
    ): Either<RelayError, ResolvedRequest> = resolve(incoming, id, manifest, span, null)

    /** Resolves a request; [forward] has the attributes that the entry host of another region determined, if any. */
    internal fun resolve(
        incoming: IncomingRequest,
        id: RequestId,
        manifest: ManifestView,
        span: HopSpan,
        forward: ForwardOrigin?,
    ): Either<RelayError, ResolvedRequest> = either {
        val service = ensureNotNull(manifest.service(incoming.serviceName)) {
            RelayError(ErrorKind.UNKNOWN_SERVICE, "the manifest has no service ${incoming.serviceName}")
        }
        ensure((service.service.type == Service.Type.ENGINE) == incoming.isChat) {
            RelayError(ErrorKind.MALFORMED_REQUEST, "engines, and only they, are called at ${ChatBody.PATH}")
        }
        val kind = ensureNotNull(service.kind(incoming.kindName)) {
            RelayError(ErrorKind.UNKNOWN_KIND, "the service ${incoming.serviceName} has no kind ${incoming.kindName}")
        }
        ensure(incoming.body.size <= service.service.maxBodyBytes) { RelayError(ErrorKind.BODY_TOO_LARGE) }
        ensure(kind.kind.isIdempotent || incoming.idempotencyKey != null || forward != null) {
            RelayError(ErrorKind.MISSING_IDEMPOTENCY_KEY)
        }
        ensure((incoming.idempotencyKey?.length ?: 0) <= MAX_KEY_CHARS) {
            RelayError(ErrorKind.MALFORMED_REQUEST, "an Idempotency-Key has at most $MAX_KEY_CHARS characters")
        }
        val nowMs = clock.nowMs()
        val deadlineMs = nowMs + (forward?.remainingMs ?: kind.waits.waitMs(clock.instant()))
        val regions = manifest.allowedRegions(incoming.caller, service)
            .filter { it == ownRegion || incoming.body.size <= MAX_FORWARDED_BYTES }
        ensure(regions.isNotEmpty()) {
            RelayError(
                ErrorKind.REGION_UNREACHABLE,
                "no region is allowed for the caller, the service and the size of the body",
            )
        }
        val profile = RequestProfile(
            id = id,
            callerName = incoming.caller.name,
            serviceName = service.service.name,
            kindName = kind.kind.name,
            priority = kind.kind.priority.toInt(),
            isIdempotent = kind.kind.isIdempotent,
            deadlineMs = deadlineMs,
            allowedRegions = regions,
            prefixHashes = PrefixHasher.hashes(incoming.prompt),
            promptTokens = incoming.prompt.length / PrefixHasher.CHARS_PER_TOKEN,
            responseTokens = incoming.maxTokens,
            digest = digest(incoming, kind.kind.name),
            isForwarded = forward != null,
        )
        ResolvedRequest(
            incoming, id, manifest.number, service, kind, deadlineMs, profile, span, nowMs,
            forward?.path.orEmpty(), forward?.isGranted ?: false,
        )
    }

    private fun digest(incoming: IncomingRequest, kindName: String): String = sha256Hex(
        listOf(incoming.caller.name, incoming.serviceName, kindName, incoming.method, incoming.target, "")
            .joinToString("\u0000").encodeToByteArray(),
        incoming.body,
    )

    private companion object {
        // The ledger stores each key for its retention period, so its length is limited.
        private const val MAX_KEY_CHARS = 256

        // A forwarded request must fit with its headers into one link frame, which is limited to 1 MiB.
        private const val MAX_FORWARDED_BYTES = 900_000
    }
}

/** Attributes of a forwarded request that its entry host determined. */
internal class ForwardOrigin(val remainingMs: Long, val path: List<String>, val isGranted: Boolean)
