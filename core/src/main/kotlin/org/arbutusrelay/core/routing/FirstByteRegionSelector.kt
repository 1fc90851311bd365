package org.arbutusrelay.core.routing

/**
 * Sends a request that has no place here to the region with the earliest predicted first byte.
 *
 * A request whose finish here is predicted stays unless the first byte elsewhere comes before that. A region from which
 * the first byte cannot come before the deadline is no help.
 */
public class FirstByteRegionSelector : RegionSelector {
    override fun choose(query: RegionQuery): RegionSlots? {
        val leftMs = (query.profile.deadlineMs - query.nowMs).toDouble()
        val best = query.regions.soonest(query.profile, query.times, query.nowMs) ?: return null
        return best.region.takeIf { best.firstByteMs < minOf(leftMs, query.localMs) }
    }
}
