package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.SUSPECT_AFTER_MS
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.RegionDigest

/** Builds the heartbeats, digests and summaries that are due. */
internal class Reports(
    private val self: () -> HostState,
    private val hosts: HostTable,
    private val servers: BackendServerTable,
    private val summaries: RegionSummaries,
    private val suspects: SuspectFeed,
    private val neighbours: Map<String, Neighbour>,
    private val topology: Topology,
    private val predict: ColdPrediction,
) {
    private val heartbeats = Timer(MembershipTimes.HEARTBEAT_MS)
    private val zoneDigests = Timer(MembershipTimes.ZONE_DIGEST_MS)
    private val regionDigests = Timer(MembershipTimes.REGION_DIGEST_MS)
    private val summaryTimer = Timer(MembershipTimes.SUMMARY_MS)
    private var firstMs = NEVER

    /** Returns the frames that are due at [nowMs]. */
    fun due(nowMs: Long, newestManifest: Long): List<Outgoing> = buildList {
        if (firstMs == NEVER) firstMs = nowMs
        val aggregators = topology.aggregators(self().availabilityZone, nowMs)
        if (heartbeats.isDue(nowMs)) {
            aggregators.mapNotNull(neighbours::get).forEach {
                add(heartbeat(it, nowMs))
                addAll(summaries(it, RegionSummaries.Distance.OTHER_REGION))
            }
        }
        val isPrimary = aggregators.firstOrNull() == self().hostName
        if (zoneDigests.isDue(nowMs) && self().hostName in aggregators) {
            topology.otherAggregators(nowMs).forEach {
                add(zoneDigest(it, nowMs, newestManifest, isPrimary))
                addAll(summaries(it, RegionSummaries.Distance.OWN_ZONE))
            }
        }
        if (regionDigests.isDue(nowMs)) {
            val subscribers = neighbours.values.filter { nowMs - it.heardMs < SUSPECT_AFTER_MS }
            subscribers.forEach {
                add(regionDigest(it, nowMs, newestManifest, isPrimary))
                if (isPrimary) addAll(summaries(it, RegionSummaries.Distance.OTHER_ZONE))
            }
        }
        if (summaryTimer.isDue(nowMs)) addAll(ownSummaries(nowMs))
    }

    private fun heartbeat(to: Neighbour, nowMs: Long): Outgoing {
        val own = servers.all.filter { MembershipNode.OWN in it.sources }
        return Outgoing(to.hostName, to.heartbeat(self(), own, suspectsFor(to, nowMs), nowMs))
    }

    /** Covers what the hosts of this availability zone said themselves; digests are never passed on to other zones. */
    private fun zoneDigest(to: Neighbour, nowMs: Long, newestManifest: Long, hasLoads: Boolean): Outgoing {
        val zone = self().availabilityZone
        val direct = hosts.all.filter { it.state.availabilityZone == zone && it.isDirect(nowMs) }
        val reported = servers.all.filter { entry -> entry.sources.keys.any(::isReported) }
        val digest = to.digests.next(header(to, zone, nowMs, newestManifest), direct, reported, hasLoads, nowMs)
        return Outgoing(to.hostName, LinkFrame(regionDigest = digest))
    }

    private fun regionDigest(to: Neighbour, nowMs: Long, newestManifest: Long, hasLoads: Boolean): Outgoing {
        val header = header(to, "", nowMs, newestManifest)
        val live = servers.all.filter { entry -> entry.sources.keys.any { isReported(it) || isFromZone(it) } }
        val aggregators = topology.aggregators(self().availabilityZone, nowMs).filter { it in neighbours }
        // What is known only from region digests is not passed on: two aggregators would keep it alive for each other.
        // The linked aggregators are named nevertheless, so that a new host that knows only this one finds them.
        val known = hosts.all.filter { entry ->
            entry.isDirect(nowMs) || entry.sources.keys.any(::isFromZone) || entry.state.hostName in aggregators
        }
        return Outgoing(
            to.hostName,
            LinkFrame(regionDigest = to.digests.next(header, known, live, hasLoads, nowMs)),
        )
    }

    private fun header(to: Neighbour, zone: String, nowMs: Long, newestManifest: Long) = RegionDigest(
        fromHost = self().hostName,
        availabilityZone = zone,
        hosts = emptyList(),
        removedHosts = emptyList(),
        backendServers = emptyList(),
        removedBackendServers = emptyList(),
        suspects = suspectsFor(to, nowMs),
        manifestNumber = newestManifest,
    )

    private fun suspectsFor(to: Neighbour, nowMs: Long) =
        suspects.since(to.suspectCursor, nowMs).let { (found, cursor) -> found.also { to.suspectCursor = cursor } }

    private fun summaries(to: Neighbour, distance: RegionSummaries.Distance): List<Outgoing> =
        summaries.next(to.hostName, distance).map { Outgoing(to.hostName, LinkFrame(regionSummary = it)) }

    private fun ownSummaries(nowMs: Long): List<Outgoing> {
        val receivers = topology.summaryReceivers(nowMs)
        if (receivers.isEmpty()) return emptyList()
        // Both speakers of a region count from the wall clock at their start, so that their numbers agree roughly.
        val sequence = maxOf(0, self().startedAtMs + nowMs - firstMs) / MembershipTimes.SUMMARY_MS
        val states = hosts.all.map { it.state.copy(isSuspected = it.isSuspected(nowMs)) }
        val live = servers.available(nowMs).map { it.state }
        val summary = RegionSummaries.build(self().region, sequence, states, live, predict)
        return receivers.mapNotNull { to ->
            summaries.next(to.hostName, summary)?.let { Outgoing(to.hostName, LinkFrame(regionSummary = it)) }
        }
    }

    private fun isReported(source: String) =
        source == MembershipNode.OWN || source.startsWith(MembershipNode.HEARTBEAT)

    private fun isFromZone(source: String) = source.startsWith(MembershipNode.ZONE)

    private class Timer(private val intervalMs: Long) {
        private var lastMs = NEVER

        fun isDue(nowMs: Long): Boolean = (nowMs - lastMs >= intervalMs).also { if (it) lastMs = nowMs }
    }
}
