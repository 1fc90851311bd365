package org.arbutusrelay.core.site

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.HostState

/** What a caller tells when it asks for entry hosts; empty where it did not. */
public data class DirectoryQuery(
    val name: String,
    val region: String,
    val availabilityZone: String,
    /** Address that the caller connects from; several callers may share one. */
    val callerKey: String = "",
)

/** Selects the entry hosts that callers connect to. */
public object EntryHostDirectory {
    /** Maximum addresses per response; more are of no use, because a caller picks one at random. */
    public const val MAX_ADDRESSES: Int = 64

    /**
     * Lifetime of a list of stopping hosts, in milliseconds.
     *
     * A stopping host withdraws its address this long before it refuses requests, so that no such list outlasts it.
     */
    public const val LEAVING_LIFETIME_MS: Long = 500

    /** With fewer hosts than this in the caller's availability zone, all hosts of the region are returned. */
    private const val MIN_ZONE_HOSTS = 2

    /**
     * Returns the [hosts] that the caller of [query] connects to, where it may be directed to [homes].
     *
     * The first of these that has a host: its availability zone, its region, the allowed regions, and the hosts of its
     * region that still accept connections although they are about to stop. Callers select uniformly among the
     * addresses, so a farther group is used only if there are few nearby hosts, and a host of higher capacity is listed
     * several times. [hosts] includes leaving hosts.
     */
    public fun select(hosts: List<HostState>, query: DirectoryQuery, homes: NameHomes): DirectoryAnswer {
        val open = hosts.filter { it.callerAddress.isNotEmpty() && !it.isSuspected }
        val (leaving, accepting) = open.partition { it.isLeaving }
        val inRegion = accepting.filter { it.region == query.region }
        val inZone = inRegion.filter { it.availabilityZone == query.availabilityZone }
        val (scope, selected) = when {
            inZone.size >= MIN_ZONE_HOSTS -> DirectoryScope.ZONE to inZone
            inRegion.isNotEmpty() -> DirectoryScope.REGION to inRegion
            else -> elsewhere(accepting, homes) ?: stopping(leaving, query.region)
        }
        return DirectoryAnswer(scope, selected.take(query))
    }

    private fun elsewhere(accepting: List<HostState>, homes: NameHomes): Pair<DirectoryScope, List<HostState>>? =
        when (homes) {
            NameHomes.Any -> DirectoryScope.OTHER_REGION to accepting
            is NameHomes.Only -> DirectoryScope.HOME to accepting.filter { it.region in homes.regions }
            NameHomes.Unknown -> null
        }?.takeIf { it.second.isNotEmpty() }

    private fun stopping(leaving: List<HostState>, region: String): Pair<DirectoryScope, List<HostState>> {
        val inRegion = leaving.filter { it.region == region }
        return if (inRegion.isEmpty()) DirectoryScope.NONE to inRegion else DirectoryScope.LEAVING to inRegion
    }

    /** Returns at most [MAX_ADDRESSES] hosts, which differ with the zone and stay while others come and go. */
    private fun List<HostState>.take(query: DirectoryQuery): List<HostState> {
        val key = query.availabilityZone
        WeightedAddresses.repeat(this, "$key/${query.callerKey}", MAX_ADDRESSES)?.let { return it }
        if (size <= MAX_ADDRESSES) return this
        val byAddress = associateBy { it.callerAddress }
        return Rendezvous.rank(key, byAddress.keys).take(MAX_ADDRESSES).mapNotNull(byAddress::get)
    }
}
