package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.settings.PeerSettings

/** Determines the aggregators, the hosts that send the region's summary, and the links that this host needs. */
internal class Topology(
    private val self: () -> HostState,
    private val peers: List<PeerSettings>,
    private val hosts: HostTable,
    private val summaries: RegionSummaries,
    private val neighbours: Map<String, Neighbour>,
) {
    private val region get() = self().region
    private val zone get() = self().availabilityZone

    /** Returns the aggregators of [availabilityZone] in this region, the primary one first. */
    fun aggregators(availabilityZone: String, nowMs: Long): List<String> {
        val live = hosts.all.filter { it.state.availabilityZone == availabilityZone && !it.isSuspected(nowMs) }
            .map { it.state.hostName }
        // Includes linked hosts without a known state, so that a new host can reach an aggregator.
        val linked = neighbours.values.filter { it.region == region && it.availabilityZone == availabilityZone }
            .map { it.hostName }.filter { hosts[it] == null }
        return Rendezvous.rank("$region/$availabilityZone", live + linked).take(AGGREGATORS_PER_ZONE)
    }

    fun isAggregator(nowMs: Long): Boolean = self().hostName in aggregators(zone, nowMs)

    /** Returns true when this host is its zone's primary aggregator, which sends the loads. */
    fun isPrimary(nowMs: Long): Boolean = aggregators(zone, nowMs).firstOrNull() == self().hostName

    /** Returns the linked aggregators of the region's other availability zones. */
    fun otherAggregators(nowMs: Long): List<Neighbour> =
        otherZones().flatMap { aggregators(it, nowMs) }.mapNotNull(neighbours::get)

    /**
     * Returns the linked hosts of other regions that this host sends its region's summary to: two in each region.
     *
     * Two hosts send the summary of a region. Any other host sends it only to regions from which it has no recent
     * summary, because it may be the only host whose settings name a peer there.
     */
    fun summaryReceivers(nowMs: Long): List<Neighbour> {
        val live = hosts.all.filterNot { it.isSuspected(nowMs) }.map { it.state.hostName }
        val isSummarySender = self().hostName in Rendezvous.rank("summary/$region", live).take(SUMMARY_HOSTS)
        return neighbours.values.filter { it.region != region }.groupBy { it.region }.flatMap { (other, linked) ->
            val isUnknown = summaries.all[other].let { it == null || nowMs - it.second >= SUMMARY_TIMEOUT_MS }
            if (!isSummarySender && !isUnknown) return@flatMap emptyList()
            Rendezvous.rank("$region>$other", linked.map { it.hostName }).take(SUMMARY_HOSTS)
                .mapNotNull(neighbours::get)
        }
    }

    /**
     * Returns the link addresses of the hosts that this host should be connected to, by host name.
     *
     * A host announces the address at which its own region reaches it. For a host of another region the address in the
     * settings takes precedence, because addresses may be translated between regions.
     */
    fun wantedLinks(nowMs: Long): Map<String, String> {
        val zones = if (isAggregator(nowMs)) otherZones() + zone else setOf(zone)
        val inRegion = zones.flatMap { aggregators(it, nowMs) }.mapNotNull { hosts[it]?.state } +
            hosts.all.map { it.state }.filter { it.isStateHost }
        val inOtherRegions = summaries.all.values.flatMap { (summary, _) ->
            val byName = summary.hosts.associateBy { it.hostName }
            Rendezvous.rank(self().hostName, byName.keys).take(SUMMARY_HOSTS).mapNotNull(byName::get)
        }
        val announced = (inRegion + inOtherRegions).associate { it.hostName to it.address }
        val (localPeers, remotePeers) = peers.partition { it.region == region }
        return addresses(localPeers) + announced + addresses(remotePeers) - self().hostName
    }

    private fun addresses(settings: List<PeerSettings>): Map<String, String> =
        settings.associate { it.hostName to it.address }

    private fun otherZones(): Set<String> {
        val known = hosts.all.map { it.state.availabilityZone } +
            neighbours.values.filter { it.region == region }.map { it.availabilityZone }
        return known.toSet() - zone
    }

    private companion object {
        const val AGGREGATORS_PER_ZONE = 2
        const val SUMMARY_HOSTS = 2
        const val SUMMARY_TIMEOUT_MS = 3_000L
    }
}
