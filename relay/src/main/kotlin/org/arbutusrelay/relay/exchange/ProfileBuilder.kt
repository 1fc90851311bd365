package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.RequestHomes
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.routing.PrefixHashes
import org.arbutusrelay.core.routing.RequestProfile

/** Builds the request profiles used by the scheduler. */
internal class ProfileBuilder(private val selfRegion: String, private val otherRegions: () -> List<String>) {
    /** Returns the decision on the regions of one request; other regions come in order of increasing load. */
    fun homesOf(isForwarded: Boolean): RequestHomes = RequestHomes(selfRegion, isForwarded, otherRegions)

    fun build(
        id: RequestId,
        call: ResolvedRequest,
        isEngine: Boolean,
        submittedAtMs: Long,
        homes: RequestHomes,
    ): RequestProfile {
        val route = call.route
        val metadata = call.metadata
        val parts = metadata.promptParts.map { it.id to it.tokens }
        // The last part is specific to the request.
        val shared = parts.dropLast(1)
        val hashes = PrefixHashes.ofParts(parts)
        return RequestProfile(
            id = id,
            callerName = call.tenantName ?: ANY_CALLER,
            serviceName = call.serviceName,
            kindName = route.name,
            priority = route.priority,
            isIdempotent = route.isRepeatable,
            deadlineMs = call.deadlineMs,
            allowedRegions = homes.regionsFor(route),
            prefixHashes = hashes,
            promptTokens = metadata.promptTokens,
            responseTokens = metadata.responseTokens,
            sharedTokens = shared.sumOf { (_, tokens) -> tokens },
            affinityHash = hashes.getOrNull(PrefixHashes.countOfParts(shared) - 1) ?: 0,
            canImportCache = isEngine,
            isStream = route.kind == RouteKind.STREAM,
            targetMs = route.targetLatencyMs,
            targetPauseMs = route.targetPauseMs,
            submittedAtMs = submittedAtMs,
            isForwarded = homes.isForwarded,
        )
    }

    private companion object {
        /** Without tenants, callers are not identified, and the scheduler's fairness between them does not apply. */
        const val ANY_CALLER = ""
    }
}
