package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.routing.PrefixHashes
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.relay.dialect.RequestMetadata

/** Describes requests to the scheduler. */
internal class ProfileBuilder(private val selfRegion: String, private val otherRegions: () -> List<String>) {
    fun build(
        id: RequestId,
        route: Route,
        serviceName: String,
        isEngine: Boolean,
        facts: RequestMetadata,
        submittedAtMs: Long,
        deadlineMs: Long,
        isForwarded: Boolean,
    ): RequestProfile {
        val parts = facts.promptParts.map { it.id to it.tokens }
        // The last part is the request's own.
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
            allowedRegions = if (isForwarded) listOf(selfRegion) else allowedRegions(route),
            prefixHashes = hashes,
            promptTokens = facts.promptTokens,
            responseTokens = facts.responseTokens,
            sharedTokens = shared.sumOf { (_, tokens) -> tokens },
            affinityHash = hashes.getOrNull(PrefixHashes.countOfParts(shared) - 1) ?: 0,
            canImportCache = isEngine,
            isStream = route.kind == RouteKind.STREAM,
            targetMs = route.targetLatencyMs,
            submittedAtMs = submittedAtMs,
            isForwarded = isForwarded,
        )
    }

    /** The own region comes first where it is allowed, and then those with the most room. */
    private fun allowedRegions(route: Route): List<String> {
        val all = listOf(selfRegion) + otherRegions()
        return if (route.homeRegions.isEmpty()) all else all.filter { it in route.homeRegions }
    }

    private companion object {
        /** Callers of routes are not told apart; the scheduler's fairness between callers has nothing to do. */
        const val ANY_CALLER = ""
    }
}
