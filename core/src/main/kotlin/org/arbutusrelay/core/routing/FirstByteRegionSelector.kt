package org.arbutusrelay.core.routing

/**
 * Forwards a request to the region with the earliest predicted first byte.
 *
 * A request stays in this region unless the first byte from another region is predicted before its finish here. Regions
 * that cannot deliver the first byte before the deadline are excluded.
 */
public class FirstByteRegionSelector : RegionSelector {
    override fun select(query: RegionQuery): RegionSlots? {
        val remainingMs = (query.profile.deadlineMs - query.nowMs).toDouble()
        val best = query.regions.earliestFirstByte(query.profile, query.times, query.nowMs) ?: return null
        return best.region.takeIf { best.firstByteMs < minOf(remainingMs, query.localMs) }
    }
}
