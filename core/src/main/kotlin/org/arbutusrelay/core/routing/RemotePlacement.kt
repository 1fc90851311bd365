package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.ShareBudget
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants

/** Sends attempts to other regions, within the budget on the share sent away. */
internal class RemotePlacement(
    private val choice: RegionSelector,
    private val attempts: OpenAttempts,
    private val invariants: Invariants,
    private val budget: ShareBudget,
) {
    /** Sends a request elsewhere when the choice and the budget allow it; otherwise returns null. */
    fun trySendAway(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimes,
        localMs: Double,
        isLocalFull: Boolean,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded || !budget.canSpend()) return null
        val regions = usableRegions(profile, snapshot, nowMs)
        if (regions.isEmpty()) return null
        val costs = snapshot.table.costMicros[profile.serviceName].orEmpty()
        val query = RegionQuery(profile, nowMs, localMs, isLocalFull, regions, times, costs)
        val region = choice.choose(query) ?: return null
        return if (budget.trySpend()) send(profile, region, times, nowMs) else null
    }

    /** Sends a request away when its first byte is predicted clearly sooner elsewhere than the [localFirstMs] here. */
    fun tryRelieve(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimes,
        localFirstMs: Double,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded || !budget.canSpend()) return null
        val best = usableRegions(profile, snapshot, nowMs).soonest(profile, times, nowMs)
        if (best == null || best.firstByteMs > localFirstMs * CLEARLY_SOONER) return null
        return if (budget.trySpend()) send(profile, best.region, times, nowMs) else null
    }

    /**
     * Sends a request that did not arrive in its home region there, or to another allowed region when this one is not.
     *
     * This takes nothing from the budget: the request would otherwise run away from home or not at all.
     */
    fun trySendHome(
        profile: RequestProfile,
        snapshot: SchedulerSnapshot,
        times: ServiceTimes,
        isLocalAllowed: Boolean,
        nowMs: Long,
    ): Placement? {
        if (profile.isForwarded) return null
        val targets = usableRegions(profile, snapshot, nowMs)
        if (!isLocalAllowed && profile.targetMs > 0) return sendSoonest(profile, targets, times, nowMs)
        val target = targets.firstOrNull {
            (!isLocalAllowed || it.region.name == profile.allowedRegions.first()) &&
                nowMs + it.predictMs(profile, times) <= profile.deadlineMs
        }
        return target?.let { send(profile, it, times, nowMs) }
    }

    private fun sendSoonest(
        profile: RequestProfile,
        targets: List<RegionSlots>,
        times: ServiceTimes,
        nowMs: Long,
    ): Placement? {
        val soonest = targets.soonest(profile, times, nowMs) ?: return null
        val isInTime = nowMs + soonest.firstByteMs <= profile.deadlineMs
        return if (isInTime) send(profile, soonest.region, times, nowMs) else null
    }

    private fun usableRegions(profile: RequestProfile, snapshot: SchedulerSnapshot, nowMs: Long): List<RegionSlots> =
        profile.allowedRegions.mapNotNull { name ->
            snapshot.regions[name]?.takeIf { name != snapshot.table.region && it.isUsable(profile.serviceName, nowMs) }
        }

    private fun send(profile: RequestProfile, region: RegionSlots, times: ServiceTimes, nowMs: Long): Placement? {
        val name = region.region.name
        val isAllowed = invariants.check(Guarantee.ALLOWED_REGION, name in profile.allowedRegions) {
            "${profile.id} sent to $name"
        }
        val isFirstHop = invariants.check(Guarantee.SINGLE_HOP, !profile.isForwarded) {
            "${profile.id} sent on to $name"
        }
        if (!isAllowed || !isFirstHop || !region.breaker.tryAdmit(nowMs)) return null
        region.acquire(profile.serviceName)
        val number = attempts.nextNumber()
        val predictedMs = region.predictMs(profile, times)
        val firstMs = region.announcedFirstByteMs(profile, times)
        attempts.add(
            number,
            OpenAttempt(null, region, times, profile.promptTokens, 0, predictedMs, predictedFirstMs = firstMs),
        )
        val summary = region.region.services[profile.serviceName]
        val basis = PlacementBasis(
            load = (summary?.running ?: 0) + (summary?.queued ?: 0),
            limit = summary?.capacity ?: 0,
            predictedMs = (firstMs + region.excessMs(profile.serviceName, nowMs)).toLong(),
        )
        return Placement.Forward(PlacedAttempt(profile, "", 0, "", number, nowMs, region = name, basis = basis), name)
    }

    private companion object {
        /** The other region's cache is cold and its load is known late, so a small gain is none. */
        const val CLEARLY_SOONER = 0.7
    }
}
