package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Keeps requests in this region unless they are predicted to miss the deadline here and to meet it in another region.
 *
 * Forwarding has hysteresis: it starts when predictions have exceeded the remaining time by [missFactor] for
 * [minMissDurationMs], and stops after [maxGapMs] without such a miss. Without a backend server or queue capacity
 * in this region it starts at once. Among the regions that meet the deadline, the cheapest is selected, then the one
 * with the earliest predicted finish.
 */
public class EarliestFinishRegionSelector(
    private val missFactor: Double = 1.1,
    private val minMissDurationMs: Long = 500,
    private val maxGapMs: Long = 2_000,
    private val safetyFactor: Double = 1.1,
) : RegionSelector {
    private val missStreakByService = ConcurrentHashMap<String, Streak>()

    override fun select(query: RegionQuery): RegionSlots? {
        val remainingMs = (query.profile.deadlineMs - query.nowMs).toDouble()
        if (query.localMs <= remainingMs * missFactor) return null
        val isUnserved = query.localMs == Double.POSITIVE_INFINITY
        if (!isSustained(query.profile.serviceName, query.nowMs) && !isUnserved) return null
        var best: RegionSlots? = null
        var bestCost = Double.MAX_VALUE
        for (region in query.regions) {
            val finishMs = region.predictMs(query.profile, query.times)
            if (finishMs * safetyFactor > remainingMs) continue
            val cost = (query.costMicros[region.region.name] ?: 0) * COST_WEIGHT_MS + finishMs
            if (cost < bestCost) {
                best = region
                bestCost = cost
            }
        }
        return best
    }

    /**
     * Returns true when the misses of [service] have lasted for [minMissDurationMs] without a gap of [maxGapMs].
     */
    private fun isSustained(service: String, nowMs: Long): Boolean {
        val streak = missStreakByService.compute(service) { _, old ->
            if (old == null || nowMs - old.lastMs > maxGapMs) Streak(nowMs, nowMs) else Streak(old.firstMs, nowMs)
        }
        return streak != null && nowMs - streak.firstMs >= minMissDurationMs
    }

    private class Streak(val firstMs: Long, val lastMs: Long)

    private companion object {
        // Ranks regions by cost first; the predicted finish, in milliseconds, only breaks ties.
        private const val COST_WEIGHT_MS = 1e6
    }
}
