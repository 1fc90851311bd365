package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.HostState

/**
 * Ranks entry hosts for a caller.
 *
 * Hosts in the local availability zone come first, then those in the rest of the region, then other regions. Overloaded
 * hosts follow after all others; leaving and suspected hosts are excluded. Within a group, hosts are ordered by
 * rendezvous hashing of caller and host, which is stable for each caller and distributes callers evenly.
 */
public object EntryHostRanking {
    /** Load, in thousandths of the admission limit, from which a host counts as overloaded. */
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
        val (inRegion, inOtherRegions) = ready.partition { it.region == region }
        val (inZone, inOtherZones) = inRegion.partition { it.availabilityZone == availabilityZone }
        // Each group is limited, so that a caller can fail over when its availability zone or region fails.
        val selected = inZone.take(MAX_IN_ZONE) + inOtherZones.take(MAX_IN_OTHER_ZONES) +
            inOtherRegions.take(MAX_IN_OTHER_REGIONS)
        val overloadedByGroup = overloaded.sortedBy { proximityGroup(it, region, availabilityZone) }
        return selected + overloadedByGroup.take(MAX_HOSTS - selected.size)
    }

    private fun proximityGroup(host: HostState, region: String, availabilityZone: String): Int = when {
        host.region != region -> 2
        host.availabilityZone != availabilityZone -> 1
        else -> 0
    }

    private const val MAX_HOSTS = 16
    private const val MAX_IN_ZONE = 8
    private const val MAX_IN_OTHER_ZONES = 4
    private const val MAX_IN_OTHER_REGIONS = 4
}
