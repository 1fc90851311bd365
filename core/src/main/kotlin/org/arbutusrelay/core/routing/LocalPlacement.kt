package org.arbutusrelay.core.routing

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.request.RequestId

/** Places attempts on backend servers of this region. */
internal class LocalPlacement(
    private val choice: ServerSelector,
    private val attempts: OpenAttempts,
    private val invariants: Invariants,
    private val snapshotOf: () -> SchedulerSnapshot,
) {
    /** Occupies a slot of the chosen backend server, or returns null when none has room. */
    fun tryRun(profile: RequestProfile, nowMs: Long): PlacedAttempt? {
        repeat(MAX_TRIES) {
            val snapshot = snapshotOf()
            val servers = snapshot.services[profile.serviceName] ?: return null
            val slots = choice.choose(profile, servers, nowMs) ?: return null
            if (slots.tryAcquire(nowMs)) {
                // The table may have been replaced since the choice; a slot of a leaving server is given back.
                if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs)
                slots.release()
            }
        }
        return null
    }

    /** Occupies an idle backend server as a whole, or keeps new work away from one and returns null. */
    fun tryRunIsolated(profile: RequestProfile, nowMs: Long): PlacedAttempt? {
        val snapshot = snapshotOf()
        val servers = snapshot.services[profile.serviceName] ?: return null
        val id = profile.id
        for (slots in servers.slots) {
            if (!slots.tryAcquireIsolated(id, nowMs)) continue
            dropClaims(profile, servers)
            if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs)
            slots.release()
        }
        if (servers.slots.none { it.isClaimedBy(id) }) claimLeastLoaded(servers, id, nowMs)
        return null
    }

    /** Gives up what an isolated request keeps free. */
    fun dropClaims(profile: RequestProfile, servers: ServiceServers) {
        servers.slots.forEach { it.dropClaim(profile.id) }
    }

    /** Occupies a slot of another backend server than [attempt]'s, when the response can still be in time. */
    fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt? {
        val snapshot = snapshotOf()
        val profile = attempt.profile
        val servers = snapshot.services[profile.serviceName] ?: return null
        val others = ServiceServers(servers.slots.filter { it.name != attempt.backendServer }, servers.times)
        val slots = choice.choose(profile, others, nowMs) ?: return null
        val finishMs = nowMs + EarliestFinishServerSelector.predictMs(profile, slots, servers.times, nowMs)
        if (finishMs > profile.deadlineMs || !slots.tryAcquire(nowMs)) return null
        if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs, isHedge = true)
        slots.release()
        return null
    }

    private fun claimLeastLoaded(servers: ServiceServers, id: RequestId, nowMs: Long) {
        servers.slots.filter { it.hasRoom(nowMs) || it.load() > 0 }.minByOrNull { it.load() }?.tryClaim(id)
    }

    private fun place(
        profile: RequestProfile,
        slots: BackendSlots,
        times: ServiceTimes,
        nowMs: Long,
        isHedge: Boolean = false,
    ): PlacedAttempt? {
        val region = slots.state.region
        val isAllowed = invariants.check(Guarantee.ALLOWED_REGION, region in profile.allowedRegions) {
            "${profile.id} on ${slots.name} in $region"
        }
        val isStaying = invariants.check(Guarantee.NO_WORK_AFTER_LEAVING, !slots.state.isLeaving) {
            "${profile.id} on ${slots.name}"
        }
        if (!isAllowed || !isStaying) {
            slots.release()
            return null
        }
        val servers = snapshotOf().services[profile.serviceName]
        val reading = servers?.let { choice.reading(profile, slots, it) } ?: PromptReading(profile.promptTokens)
        val uncached = reading.tokens
        val load = slots.load()
        val idleMs = times.predictMs(uncached, profile.responseTokens)
        val predictedMs = idleMs * ServiceTimes.loadFactor(load, slots.capacity)
        if (profile.prefixHashes.isNotEmpty()) slots.history.add(profile.prefixHashes)
        times.recordUncached(uncached, profile.promptTokens)
        val number = attempts.nextNumber()
        val aheadTokens = slots.pendingTokens(times.meanUncachedTokens(), nowMs)
        val firstMs = times.firstByte.predictMs(aheadTokens + uncached)
        slots.addPending(uncached)
        attempts.add(number, OpenAttempt(slots, null, times, uncached, load, predictedMs, aheadTokens, firstMs))
        val state = slots.state
        return PlacedAttempt(
            profile, slots.name, state.incarnation, state.address, number, nowMs, isHedge, region,
            reading.source?.state?.address.orEmpty(), basisOf(slots, load, firstMs, nowMs),
        )
    }

    private fun basisOf(slots: BackendSlots, load: Int, firstMs: Double, nowMs: Long): PlacementBasis {
        val builtAtMs = snapshotOf().table.builtAtMs
        return PlacementBasis(
            load = load.toLong(),
            limit = slots.limitAt(nowMs).toLong(),
            predictedMs = firstMs.toLong(),
            coldMs = slots.coldGate.remainingMs(nowMs),
            version = slots.state.version,
            tableAgeMs = builtAtMs?.let { nowMs - it },
        )
    }

    private companion object {
        private const val MAX_TRIES = 3
    }
}
