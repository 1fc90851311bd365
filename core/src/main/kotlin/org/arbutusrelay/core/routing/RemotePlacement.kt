package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.ShareBudget
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants

/** Forwards attempts to other regions, within the budget for the forwarded share of requests. */
internal class RemotePlacement(
    private val selector: RegionSelector,
    private val attempts: OpenAttempts,
    private val invariants: Invariants,
    private val budget: ShareBudget,
    private val streamEnd: StreamEndPolicy,
) {
    /** Forwards a request when the selector and the budget allow it; otherwise returns null. */
    fun tryForward(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimeModel,
        localMs: Double,
        isLocalFull: Boolean,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded || !budget.canSpend()) return null
        val regions = usableInTime(profile, snapshot, times, nowMs)
        if (regions.isEmpty()) return null
        val costs = snapshot.table.costMicros[profile.serviceName].orEmpty()
        val query = RegionQuery(profile, nowMs, localMs, isLocalFull, regions, times, costs)
        val region = selector.select(query) ?: return null
        return if (budget.trySpend()) forward(profile, region, times, nowMs) else null
    }

    /** Forwards a request when its first byte is predicted clearly earlier elsewhere than after [localFirstMs] here. */
    fun trySpillOver(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimeModel,
        localFirstMs: Double,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded || !budget.canSpend()) return null
        val best = usableInTime(profile, snapshot, times, nowMs).earliestFirstByte(profile, times, nowMs)
        if (best == null || best.firstByteMs > localFirstMs * MAX_SPILLOVER_RATIO) return null
        return if (budget.trySpend()) forward(profile, best.region, times, nowMs) else null
    }

    /** Forwards a request to a region with free slots whose first byte is predicted to be in time. */
    fun tryBalance(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimeModel,
        limits: BalanceLimits,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded || !budget.canSpend()) return null
        val usable = usableInTime(profile, snapshot, times, nowMs)
        val free = usable.filter { it.usedShare(profile.serviceName) < limits.maxRegionUse }
        val best = free.earliestFirstByte(profile, times, nowMs) ?: return null
        if (best.firstByteMs > limits.maxFirstByteMs) return null
        return if (budget.trySpend()) forward(profile, best.region, times, nowMs) else null
    }

    /**
     * Forwards a request that arrived outside its home region to that region, or to another allowed region when this
     * one is not allowed.
     *
     * This does not count against the budget: the request would otherwise run outside its home region or not at all.
     */
    fun tryForwardHome(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimeModel,
        isLocalAllowed: Boolean,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded) return null
        val targets = usableRegions(profile, snapshot, nowMs)
        if (!isLocalAllowed && profile.targetMs > 0) return forwardToEarliest(profile, targets, times, nowMs)
        val target = targets.firstOrNull {
            (!isLocalAllowed || it.region.name == profile.allowedRegions.first()) &&
                nowMs + it.predictMs(profile, times) <= profile.deadlineMs
        }
        return target?.let { forward(profile, it, times, nowMs) }
    }

    private fun forwardToEarliest(
        profile: RequestProfile,
        targets: List<RegionSlots>,
        times: ServiceTimeModel,
        nowMs: Long,
    ): Placement? {
        val earliestFirstByte = targets.earliestFirstByte(profile, times, nowMs) ?: return null
        val isInTime = nowMs + earliestFirstByte.firstByteMs <= profile.deadlineMs
        return if (isInTime) forward(profile, earliestFirstByte.region, times, nowMs) else null
    }

    /** Returns true if another region may take [profile]. */
    fun hasUsableRegion(profile: RequestProfile, snapshot: SchedulerSnapshot, nowMs: Long): Boolean =
        usableRegions(profile, snapshot, nowMs).isNotEmpty()

    private fun usableRegions(profile: RequestProfile, snapshot: SchedulerSnapshot, nowMs: Long): List<RegionSlots> =
        profile.allowedRegions.mapNotNull { name ->
            snapshot.regions[name]?.takeIf { name != snapshot.table.region && it.isUsableFor(profile, nowMs) }
        }

    /** Returns the usable regions where a stream is expected to end in time. */
    private fun usableInTime(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimeModel,
        nowMs: Long,
    ): List<RegionSlots> {
        val regions = usableRegions(profile, snapshot, nowMs)
        if (!profile.isStream || profile.serviceName !in snapshot.table.memoryTokens) return regions
        return regions.filter { streamEnd.endsInTime(profile, it, times, nowMs) }
    }

    private fun forward(
        profile: RequestProfile,
        region: RegionSlots,
        times: ServiceTimeModel,
        nowMs: Long,
    ): Placement? {
        val name = region.region.name
        val isAllowed = invariants.check(Guarantee.ALLOWED_REGION, name in profile.allowedRegions) {
            "${profile.id} forwarded to $name"
        }
        val isFirstHop = invariants.check(Guarantee.SINGLE_HOP, !profile.isForwarded) {
            "${profile.id} forwarded again to $name"
        }
        if (!isAllowed || !isFirstHop || !region.breaker.tryAdmit(nowMs)) return null
        region.acquire(profile.serviceName)
        val number = attempts.nextNumber()
        val predictedMs = region.predictMs(profile, times)
        val firstMs = region.predictFirstByteFromSummaryMs(profile, times)
        attempts.add(
            number,
            OpenAttempt(null, region, times, profile.promptTokens, 0, predictedMs, predictedFirstByteMs = firstMs),
        )
        val summary = region.region.services[profile.serviceName]
        val basis = PlacementBasis(
            load = (summary?.running ?: 0) + (summary?.queued ?: 0),
            limit = summary?.capacity ?: 0,
            predictedMs = (firstMs + region.overrunMs(profile, nowMs)).toLong(),
        )
        return Placement.Forward(PlacedAttempt(profile, "", 0, "", number, nowMs, region = name, basis = basis), name)
    }

    private companion object {
        /**
         * The other region's cache is cold and its load is reported with a delay, so a small predicted gain
         * is not reliable.
         */
        const val MAX_SPILLOVER_RATIO = 0.7
    }
}

/** Limits on the region that relieves this one: the used part of its slots, and its predicted first byte. */
internal class BalanceLimits(val maxRegionUse: Double, val maxFirstByteMs: Double)
