package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState

/** Tells callers which entry hosts to connect to. */
public object EntryHostDirectory {
    /** More addresses than this are of no use to a caller, which picks one at random. */
    public const val MAX_ADDRESSES: Int = 64

    /** With fewer hosts than this in its availability zone, a caller is given the rest of the region as well. */
    private const val MIN_ZONE_HOSTS = 2

    /**
     * Returns the caller addresses of the nearest [hosts]: the availability zone, the region, or the whole site.
     *
     * Callers choose evenly among what they get, so that a host farther away is named only when the near ones are few.
     */
    public fun addresses(hosts: List<HostState>, region: String, availabilityZone: String): List<String> {
        val ready = hosts.filter { it.callerAddress.isNotEmpty() && !it.isLeaving && !it.isSuspected }
        val inRegion = ready.filter { it.region == region }
        val inZone = inRegion.filter { it.availabilityZone == availabilityZone }
        val chosen = when {
            inZone.size >= MIN_ZONE_HOSTS -> inZone
            inRegion.isNotEmpty() -> inRegion
            else -> ready
        }
        return chosen.map { it.callerAddress }.shuffledBy(availabilityZone).take(MAX_ADDRESSES)
    }

    /** A cut at [MAX_ADDRESSES] must not always drop the same hosts. */
    private fun List<String>.shuffledBy(key: String): List<String> = sortedBy { (it + key).hashCode() }
}
