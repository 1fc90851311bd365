package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Keeps requests at home unless the predicted finish there misses the deadline and the one elsewhere meets it.
 *
 * Hysteresis: sending away begins when predictions have missed by more than [missFactor] for [startMs], and ends when
 * none has for [holdMs]. Without a backend server or room in the queue at home it begins at once. Of the regions that
 * meet the deadline the cheapest is taken, and the earliest of equal ones.
 */
public class EarliestFinishRegionSelector(
    private val missFactor: Double = 1.1,
    private val startMs: Long = 500,
    private val holdMs: Long = 2_000,
    private val safety: Double = 1.1,
) : RegionSelector {
    private val missesByService = ConcurrentHashMap<String, Misses>()

    override fun choose(query: RegionQuery): RegionSlots? {
        val leftMs = (query.profile.deadlineMs - query.nowMs).toDouble()
        if (query.localMs <= leftMs * missFactor) return null
        val isLost = query.localMs == Double.POSITIVE_INFINITY
        if (!isLasting(query.profile.serviceName, query.nowMs) && !isLost) return null
        var best: RegionSlots? = null
        var bestCost = Double.MAX_VALUE
        for (region in query.regions) {
            val finishMs = region.predictMs(query.profile, query.times)
            if (finishMs * safety > leftMs) continue
            val cost = (query.costMicros[region.region.name] ?: 0) * COST_WEIGHT + finishMs
            if (cost < bestCost) {
                best = region
                bestCost = cost
            }
        }
        return best
    }

    /** Returns true when misses of the service have lasted for [startMs] without a pause of [holdMs]. */
    private fun isLasting(service: String, nowMs: Long): Boolean {
        val misses = missesByService.compute(service) { _, old ->
            if (old == null || nowMs - old.lastMs > holdMs) Misses(nowMs, nowMs) else Misses(old.firstMs, nowMs)
        }
        return misses != null && nowMs - misses.firstMs >= startMs
    }

    private class Misses(val firstMs: Long, val lastMs: Long)

    private companion object {
        // Makes the cost decide first; the predicted finish, in milliseconds, only breaks ties.
        private const val COST_WEIGHT = 1e6
    }
}
