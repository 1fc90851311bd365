package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.routing.PrefixHashes
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.relay.dialect.RequestMetadata

/** Builds the request profiles used by the scheduler. */
internal class ProfileBuilder(private val selfRegion: String, private val otherRegions: () -> List<String>) {
    fun build(
        id: RequestId,
        route: Route,
        serviceName: String,
        isEngine: Boolean,
        metadata: RequestMetadata,
        submittedAtMs: Long,
        deadlineMs: Long,
        isForwarded: Boolean,
    ): RequestProfile {
        val parts = metadata.promptParts.map { it.id to it.tokens }
        // The last part is specific to the request.
        val shared = parts.dropLast(1)
        val hashes = PrefixHashes.ofParts(parts)
        return RequestProfile(
            id = id,
            callerName = ANY_CALLER,
            serviceName = serviceName,
            kindName = route.name,
            priority = route.priority,
            isIdempotent = route.isRepeatable,
            deadlineMs = deadlineMs,
            allowedRegions = allowedRegions(route, isForwarded),
            prefixHashes = hashes,
            promptTokens = metadata.promptTokens,
            responseTokens = metadata.responseTokens,
            sharedTokens = shared.sumOf { (_, tokens) -> tokens },
            affinityHash = hashes.getOrNull(PrefixHashes.countOfParts(shared) - 1) ?: 0,
            canImportCache = isEngine,
            isStream = route.kind == RouteKind.STREAM,
            targetMs = route.targetLatencyMs,
            submittedAtMs = submittedAtMs,
            isForwarded = isForwarded,
        )
    }

    /**
     * Returns the local region first, if allowed, followed by the other regions in order of increasing load.
     *
     * A forwarded request runs here or nowhere. This host applies its own document to it, because that of the host
     * which sent it may be older or newer.
     */
    fun allowedRegions(route: Route, isForwarded: Boolean): List<String> {
        val known = if (isForwarded) listOf(selfRegion) else listOf(selfRegion) + otherRegions()
        return known.filter(route::allowsRegion)
    }

    private companion object {
        /** Routes do not identify callers, so the scheduler's fairness between callers does not apply. */
        const val ANY_CALLER = ""
    }
}
