package org.arbutusrelay.core.routing

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.request.RequestId

/** Places attempts on backend servers of this region. */
internal class LocalPlacement(
    private val selector: ServerSelector,
    private val attempts: OpenAttempts,
    private val invariants: Invariants,
    private val streamEnd: StreamEndPolicy,
    private val snapshotOf: () -> SchedulerSnapshot,
) {
    /** Acquires a slot of the selected backend server, or returns null when none has capacity. */
    fun tryRun(profile: RequestProfile, nowMs: Long): PlacedAttempt? {
        repeat(MAX_PLACEMENT_ATTEMPTS) {
            val snapshot = snapshotOf()
            val servers = snapshot.serversFor(profile) ?: return null
            val candidates = streamEnd.endingInTime(profile, servers, nowMs)
            val slots = selector.select(profile, candidates, nowMs)
                ?: candidates.takeIf { it !== servers }?.let { selector.select(profile, servers, nowMs) }
                ?: return null
            if (slots.tryAcquire(nowMs, countsOtherHosts = !servers.mayUseOwnShare(nowMs))) {
                // The table may have been replaced since the selection; a slot of a leaving server is released.
                if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs)
                slots.release()
            }
        }
        return null
    }

    /** Acquires an idle backend server as a whole; otherwise claims one so that it drains, and returns null. */
    fun tryRunIsolated(profile: RequestProfile, nowMs: Long): PlacedAttempt? {
        val snapshot = snapshotOf()
        val servers = snapshot.services[profile.serviceName] ?: return null
        val id = profile.id
        for (slots in servers.slots) {
            if (!slots.tryAcquireIsolated(id, nowMs)) continue
            releaseClaims(profile, servers)
            if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs)
            slots.release()
        }
        if (servers.slots.none { it.isClaimedBy(id) }) claimLeastLoaded(servers, id, nowMs)
        return null
    }

    /** Releases the claims of an isolated request. */
    fun releaseClaims(profile: RequestProfile, servers: ServerPool) {
        servers.slots.forEach { it.releaseClaim(profile.id) }
    }

    /**
     * Acquires a slot of a backend server other than that of [attempt], if the response can still meet the deadline.
     */
    fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt? {
        val snapshot = snapshotOf()
        val profile = attempt.profile
        val servers = snapshot.serversFor(profile) ?: return null
        val others = ServerPool(servers.slots.filter { it.name != attempt.backendServer }, servers.times)
        val slots = selector.select(profile, others, nowMs) ?: return null
        val finishMs = nowMs + EarliestFinishServerSelector.predictMs(profile, slots, servers.times, nowMs)
        if (finishMs > profile.deadlineMs || !slots.tryAcquire(nowMs)) return null
        if (snapshotOf().isCurrent(slots)) return place(profile, slots, servers.times, nowMs, isHedge = true)
        slots.release()
        return null
    }

    private fun claimLeastLoaded(servers: ServerPool, id: RequestId, nowMs: Long) {
        servers.slots.filter { it.hasRoom(nowMs) || it.load() > 0 }.minByOrNull { it.load() }?.tryClaim(id)
    }

    private fun place(
        profile: RequestProfile,
        slots: BackendSlots,
        times: ServiceTimeModel,
        nowMs: Long,
        isHedge: Boolean = false,
    ): PlacedAttempt? {
        val region = slots.state.region
        val isAllowed = invariants.check(Guarantee.ALLOWED_REGION, region in profile.allowedRegions) {
            "${profile.id} on ${slots.name} in $region"
        }
        val isAcceptingWork = invariants.check(Guarantee.NO_WORK_AFTER_LEAVING, !slots.state.isLeaving) {
            "${profile.id} on ${slots.name}"
        }
        if (!isAllowed || !isAcceptingWork) {
            slots.release()
            return null
        }
        val reserved = if (slots.memory.capacityTokens > 0) profile.memoryTokens else 0
        if (reserved > 0 && !slots.memory.tryReserve(reserved, otherTokens = 0.0)) {
            slots.release()
            return null
        }
        if (reserved > 0) times.recordMemory(reserved)
        val servers = snapshotOf().services[profile.serviceName]
        val prefill =
            servers?.let { selector.estimatePrefill(profile, slots, it) } ?: PrefillEstimate(profile.promptTokens)
        val uncached = prefill.tokens
        val load = slots.load()
        val idleMs = times.predictMs(uncached, profile.responseTokens)
        val predictedMs = idleMs * ServiceTimeModel.loadFactor(load, slots.capacity)
        if (profile.prefixHashes.isNotEmpty()) slots.prefixIndex.add(profile.prefixHashes)
        times.recordUncached(uncached, profile.promptTokens)
        servers?.let { selector.recordPlaced(profile, slots, it, uncached) }
        val number = attempts.nextNumber()
        val aheadTokens = slots.pendingPrefillTokens(times.meanUncachedTokens(), nowMs)
        val firstMs = times.firstByte.predictMs(aheadTokens + uncached)
        slots.addPendingPrefill(uncached)
        val speed = slots.currentSpeed.factor(nowMs)
        attempts.add(
            number,
            OpenAttempt(slots, null, times, uncached, load, predictedMs, aheadTokens, firstMs, reserved, speed),
        )
        val state = slots.state
        return PlacedAttempt(
            profile, slots.name, state.incarnation, state.address, number, nowMs, isHedge, region,
            prefill.cacheSource?.state?.address.orEmpty(), basisOf(slots, load, firstMs, nowMs), state.softwareVersion,
        )
    }

    private fun basisOf(slots: BackendSlots, load: Int, firstMs: Double, nowMs: Long): PlacementBasis {
        val builtAtMs = snapshotOf().table.builtAtMs
        return PlacementBasis(
            load = load.toLong(),
            limit = slots.limitAt(nowMs).toLong(),
            predictedMs = firstMs.toLong(),
            coldMs = slots.coldLimiter.remainingMs(nowMs),
            version = slots.state.version,
            tableAgeMs = builtAtMs?.let { nowMs - it },
        )
    }

    private companion object {
        private const val MAX_PLACEMENT_ATTEMPTS = 3
    }
}
