package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState

/** Selects the entry hosts that callers connect to. */
public object EntryHostDirectory {
    /** Maximum addresses per response; more are of no use, because a caller picks one at random. */
    public const val MAX_ADDRESSES: Int = 64

    /** With fewer hosts than this in the caller's availability zone, all hosts of the region are returned. */
    private const val MIN_ZONE_HOSTS = 2

    /**
     * Returns the nearest [hosts] that accept callers, in the availability zone, the region or the whole site.
     *
     * Callers select uniformly among the addresses, so distant hosts are included only if there are few nearby hosts.
     */
    public fun select(hosts: List<HostState>, region: String, availabilityZone: String): DirectoryAnswer {
        val eligible = hosts.filter { it.callerAddress.isNotEmpty() && !it.isLeaving && !it.isSuspected }
        val inRegion = eligible.filter { it.region == region }
        val inZone = inRegion.filter { it.availabilityZone == availabilityZone }
        val (scope, selected) = when {
            inZone.size >= MIN_ZONE_HOSTS -> DirectoryScope.ZONE to inZone
            inRegion.isNotEmpty() -> DirectoryScope.REGION to inRegion
            eligible.isNotEmpty() -> DirectoryScope.OTHER_REGION to eligible
            else -> DirectoryScope.NONE to emptyList()
        }
        return DirectoryAnswer(scope, selected.shuffledBy(availabilityZone).take(MAX_ADDRESSES))
    }

    /** Shuffles by [key], so that the cut at [MAX_ADDRESSES] does not always drop the same hosts. */
    private fun List<HostState>.shuffledBy(key: String): List<HostState> =
        sortedBy { (it.callerAddress + key).hashCode() }
}
