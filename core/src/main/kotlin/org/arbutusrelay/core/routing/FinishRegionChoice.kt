package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Keeps requests at home unless the predicted finish there misses the deadline and the one elsewhere meets it.
 *
 * Hysteresis: sending away begins when a prediction misses by more than [startShare] of the time left, and continues
 * for any miss until none was seen for [holdMs]. Of the regions that meet the deadline the cheapest is taken, and the
 * earliest of equal ones.
 */
public class FinishRegionChoice(
    private val startShare: Double = 0.1,
    private val holdMs: Long = 2_000,
    private val safety: Double = 1.1,
) : RegionChoice {
    private val lastMissMs = ConcurrentHashMap<String, Long>()

    override fun choose(query: RegionQuery): RegionSlots? {
        val leftMs = (query.profile.deadlineMs - query.nowMs).toDouble()
        if (query.localMs <= leftMs || !mayStart(query, leftMs)) return null
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

    private fun mayStart(query: RegionQuery, leftMs: Double): Boolean {
        val service = query.profile.serviceName
        val isActive = query.nowMs - (lastMissMs[service] ?: NEVER) <= holdMs
        if (!isActive && query.localMs <= leftMs * (1 + startShare)) return false
        lastMissMs[service] = query.nowMs
        return true
    }

    private companion object {
        private const val NEVER = Long.MIN_VALUE / 2

        // Makes the cost decide first; the predicted finish, in milliseconds, only breaks ties.
        private const val COST_WEIGHT = 1e6
    }
}
