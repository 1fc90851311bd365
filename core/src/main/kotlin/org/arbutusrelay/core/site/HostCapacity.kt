package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.settings.HostResources

/** Capacities of entry hosts of unequal strength. */
public object HostCapacity {
    private const val MILLIS_PER_CORE = 1_000

    /**
     * Bandwidth that is worth as much as one core, in megabits per second.
     *
     * The hosts of the two known deployments have 19.4 Mbit/s per core; with a slightly smaller figure their processor
     * decides. How much traffic one core can relay has not been measured.
     */
    private const val MBPS_PER_CORE = 19.0

    /** Returns the capacity of a host with [resources] in thousandths of a core; 0 if it is not known. */
    public fun ofResources(resources: HostResources?): Long {
        if (resources == null) return 0
        val cores = minOf(resources.cpuShare * resources.cpuCores, resources.linkMbps / MBPS_PER_CORE)
        return if (cores.isFinite() && cores > 0) maxOf(1, Math.round(cores * MILLIS_PER_CORE)) else 0
    }

    /** Returns true if the capacity of each of [hosts] is known. */
    internal fun isKnown(hosts: List<HostState>): Boolean = hosts.all { it.capacityMillis > 0 }

    /**
     * Returns the share of the host named [self] in the capacity of [hosts], between 0 and 1.
     *
     * Returns null if the host is not one of them or if a capacity is not known; the hosts then have equal shares.
     */
    public fun share(self: String, hosts: List<HostState>): Double? {
        if (!isKnown(hosts)) return null
        val own = hosts.find { it.hostName == self } ?: return null
        return own.capacityMillis / hosts.sumOf { it.capacityMillis.toDouble() }
    }
}
