package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.SUSPECT_AFTER_MS
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.RegionDigest

/** Builds the heartbeats, digests and summaries that are due. */
internal class ReportScheduler(
    private val self: () -> HostState,
    private val hosts: HostTable,
    private val servers: BackendServerTable,
    private val summaries: RegionSummaries,
    private val suspects: SuspectFeed,
    private val neighbours: Map<String, Neighbour>,
    private val topology: Topology,
    private val predict: ColdPrediction,
) {
    private val heartbeats = IntervalTimer(MembershipTimes.HEARTBEAT_INTERVAL_MS)
    private val zoneDigests = IntervalTimer(MembershipTimes.ZONE_DIGEST_INTERVAL_MS)
    private val regionDigests = IntervalTimer(MembershipTimes.REGION_DIGEST_INTERVAL_MS)
    private val summaryTimer = IntervalTimer(MembershipTimes.SUMMARY_INTERVAL_MS)
    private var startMs = NEVER

    /** Returns the frames that are due at [nowMs]. */
    fun due(nowMs: Long, newestManifest: Long): List<Outgoing> = buildList {
        if (startMs == NEVER) startMs = nowMs
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
            val subscribers = neighbours.values.filter { nowMs - it.lastHeartbeatMs < SUSPECT_AFTER_MS }
            subscribers.forEach {
                add(regionDigest(it, nowMs, newestManifest, isPrimary))
                if (isPrimary) addAll(summaries(it, RegionSummaries.Distance.OTHER_ZONE))
            }
        }
        if (summaryTimer.isDue(nowMs)) addAll(ownSummaries(nowMs))
    }

    private fun heartbeat(to: Neighbour, nowMs: Long): Outgoing {
        val own = servers.all.filter { MembershipNode.OWN_SOURCE in it.sources }
        return Outgoing(to.hostName, to.heartbeat(self(), own, suspectsFor(to, nowMs), nowMs))
    }

    /** Covers only direct reports of this availability zone's hosts; digests are never forwarded to other zones. */
    private fun zoneDigest(to: Neighbour, nowMs: Long, newestManifest: Long, hasLoads: Boolean): Outgoing {
        val zone = self().availabilityZone
        val direct = hosts.all.filter { it.state.availabilityZone == zone && it.isDirectlyReported(nowMs) }
        val reported = servers.all.filter { entry -> entry.sources.keys.any(::isDirectSource) }
        val digest = to.digests.next(header(to, zone, nowMs, newestManifest), direct, reported, hasLoads, nowMs)
        return Outgoing(to.hostName, LinkFrame(regionDigest = digest))
    }

    private fun regionDigest(to: Neighbour, nowMs: Long, newestManifest: Long, hasLoads: Boolean): Outgoing {
        val header = header(to, "", nowMs, newestManifest)
        val live = servers.all.filter { entry -> entry.sources.keys.any { isDirectSource(it) || isZoneSource(it) } }
        val aggregators = topology.aggregators(self().availabilityZone, nowMs).filter { it in neighbours }
        // Hosts known only from region digests are left out: two aggregators would keep each other's entries alive.
        // The linked aggregators are always included, so that a new host that knows only this one can find them.
        val known = hosts.all.filter { entry ->
            entry.isDirectlyReported(nowMs) || entry.sources.keys.any(::isZoneSource) ||
                entry.state.hostName in aggregators
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
        suspects.since(to.suspectCursor, nowMs)
            .let { (newSuspects, cursor) -> newSuspects.also { to.suspectCursor = cursor } }

    private fun summaries(to: Neighbour, distance: RegionSummaries.Distance): List<Outgoing> =
        summaries.next(to.hostName, distance).map { Outgoing(to.hostName, LinkFrame(regionSummary = it)) }

    private fun ownSummaries(nowMs: Long): List<Outgoing> {
        val receivers = topology.summaryReceivers(nowMs)
        if (receivers.isEmpty()) return emptyList()
        // Both senders of a region's summary start from the wall clock, so that their sequence numbers roughly agree.
        val sequence = maxOf(0, self().startedAtMs + nowMs - startMs) / MembershipTimes.SUMMARY_INTERVAL_MS
        val states = hosts.all.map { it.state.copy(isSuspected = it.isSuspected(nowMs)) }
        val live = servers.available(nowMs).map { it.state }
        val summary = RegionSummaries.build(self().region, sequence, states, live, predict)
        return receivers.mapNotNull { to ->
            summaries.next(to.hostName, summary)?.let { Outgoing(to.hostName, LinkFrame(regionSummary = it)) }
        }
    }

    private fun isDirectSource(source: String) =
        source == MembershipNode.OWN_SOURCE || source.startsWith(MembershipNode.HEARTBEAT_SOURCE_PREFIX)

    private fun isZoneSource(source: String) = source.startsWith(MembershipNode.ZONE_SOURCE_PREFIX)

    private class IntervalTimer(private val intervalMs: Long) {
        private var lastMs = NEVER

        fun isDue(nowMs: Long): Boolean = (nowMs - lastMs >= intervalMs).also { if (it) lastMs = nowMs }
    }
}
