package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.HostState

/**
 * Ranks entry hosts for a caller.
 *
 * Own availability zone first, then the region, then other regions; overloaded hosts last in the whole list, leaving
 * and suspected ones left out. Within a group the order is rendezvous hashing of caller and host, which stays the same
 * for a caller and spreads callers evenly.
 */
public object EntryHostRanking {
    /** Share of the admission limit, in thousandths, from which a host counts as overloaded. */
    public const val OVERLOAD_PERMILLE: Long = 900

    /** Returns at most 16 of [hosts], best first, as seen from [region] and [availabilityZone]. */
    public fun rank(
        callerName: String,
        region: String,
        availabilityZone: String,
        hosts: Collection<HostState>,
    ): List<HostState> {
        val byName = hosts.filterNot { it.isLeaving || it.isSuspected }.associateBy { it.hostName }
        val ranked = Rendezvous.rank(callerName, byName.keys).mapNotNull(byName::get)
        val (overloaded, ready) = ranked.partition { it.loadPermille >= OVERLOAD_PERMILLE }
        val (inRegion, elsewhere) = ready.partition { it.region == region }
        val (inZone, inOtherZones) = inRegion.partition { it.availabilityZone == availabilityZone }
        // A part of each group is kept, so that a caller can fail over when its availability zone or region is lost.
        val chosen = inZone.take(IN_ZONE) + inOtherZones.take(IN_REGION) + elsewhere.take(ELSEWHERE)
        val last = overloaded.sortedBy { groupOf(it, region, availabilityZone) }
        return chosen + last.take(MAX_HOSTS - chosen.size)
    }

    private fun groupOf(host: HostState, region: String, availabilityZone: String): Int = when {
        host.region != region -> 2
        host.availabilityZone != availabilityZone -> 1
        else -> 0
    }

    private const val MAX_HOSTS = 16
    private const val IN_ZONE = 8
    private const val IN_REGION = 4
    private const val ELSEWHERE = 4
}
