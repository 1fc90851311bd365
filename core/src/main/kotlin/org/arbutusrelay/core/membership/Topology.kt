package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.settings.PeerSettings

/** Decides which hosts aggregate, which speak for the region, and which links this host needs. */
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
        // Hosts that are only linked count too, so that a host that knows nothing yet reaches an aggregator.
        val linked = neighbours.values.filter { it.region == region && it.availabilityZone == availabilityZone }
            .map { it.hostName }.filter { hosts[it] == null }
        return Rendezvous.rank("$region/$availabilityZone", live + linked).take(AGGREGATORS)
    }

    fun isAggregator(nowMs: Long): Boolean = self().hostName in aggregators(zone, nowMs)

    /** Returns true when this host is the one of its zone's aggregators that tells loads. */
    fun isPrimary(nowMs: Long): Boolean = aggregators(zone, nowMs).firstOrNull() == self().hostName

    /** Returns the linked aggregators of the region's other availability zones. */
    fun otherAggregators(nowMs: Long): List<Neighbour> =
        otherZones().flatMap { aggregators(it, nowMs) }.mapNotNull(neighbours::get)

    /**
     * Returns the linked hosts of other regions that this host sends its region's summary to: two in each region.
     *
     * Two hosts speak for a region. Any other host speaks to a region that it has heard nothing of, because it may be
     * the only one whose settings name a host there.
     */
    fun summaryReceivers(nowMs: Long): List<Neighbour> {
        val live = hosts.all.filterNot { it.isSuspected(nowMs) }.map { it.state.hostName }
        val isSpeaker = self().hostName in Rendezvous.rank("summary/$region", live).take(SPEAKERS)
        return neighbours.values.filter { it.region != region }.groupBy { it.region }.flatMap { (other, linked) ->
            val isUnknown = summaries.all[other].let { it == null || nowMs - it.second >= SILENT_MS }
            if (!isSpeaker && !isUnknown) return@flatMap emptyList()
            Rendezvous.rank("$region>$other", linked.map { it.hostName }).take(SPEAKERS).mapNotNull(neighbours::get)
        }
    }

    /**
     * Returns the link addresses of the hosts that this host shall be connected to, by name.
     *
     * A host announces the address that its own region reaches it by. For a host of another region the address in the
     * settings wins, because the link between two regions may translate addresses.
     */
    fun wanted(nowMs: Long): Map<String, String> {
        val zones = if (isAggregator(nowMs)) otherZones() + zone else setOf(zone)
        val inRegion = zones.flatMap { aggregators(it, nowMs) }.mapNotNull { hosts[it]?.state } +
            hosts.all.map { it.state }.filter { it.isStateHost }
        val elsewhere = summaries.all.values.flatMap { (summary, _) ->
            val byName = summary.hosts.associateBy { it.hostName }
            Rendezvous.rank(self().hostName, byName.keys).take(SPEAKERS).mapNotNull(byName::get)
        }
        val announced = (inRegion + elsewhere).associate { it.hostName to it.address }
        val (near, far) = peers.partition { it.region == region }
        return addresses(near) + announced + addresses(far) - self().hostName
    }

    private fun addresses(of: List<PeerSettings>): Map<String, String> = of.associate { it.hostName to it.address }

    private fun otherZones(): Set<String> {
        val known = hosts.all.map { it.state.availabilityZone } +
            neighbours.values.filter { it.region == region }.map { it.availabilityZone }
        return known.toSet() - zone
    }

    private companion object {
        const val AGGREGATORS = 2
        const val SPEAKERS = 2
        const val SILENT_MS = 3_000L
    }
}
