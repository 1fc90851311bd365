package org.arbutusrelay.core.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.MembershipTimes.LEASE_MS
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.AnnouncementReply
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.Heartbeat
import org.arbutusrelay.schema.message.HostPulse
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LeavingNotice
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.RegionDigest
import org.arbutusrelay.schema.message.RegionSummary
import org.arbutusrelay.schema.message.SuspectState
import org.arbutusrelay.schema.settings.PeerSettings

/** A [frame] to send to the host [hostName]. */
public data class Outgoing(val hostName: String, val frame: LinkFrame)

/** An event that a [MembershipNode] detected. */
public sealed interface MembershipEvent {
    /** Another host reported [suspect]. */
    public data class Suspect(val suspect: SuspectState) : MembershipEvent

    /** The process [oldEpoch] of a host was replaced or removed. */
    public data class HostReplaced(val hostName: String, val oldEpoch: Long) : MembershipEvent
}

/**
 * Membership of one process: hosts, backend servers and region summaries (section 10 of the design).
 *
 * [tick] is called about every 100 ms. Not safe for concurrent use. [self] is the initial state of this host.
 */
public class MembershipNode(
    self: HostState,
    peers: List<PeerSettings>,
    invariants: Invariants,
    predict: ColdPrediction = { _, _, _, _ -> 0 },
) {
    private var ownState = self
    private val events = ArrayList<MembershipEvent>()
    private val hosts = HostTable(self.hostName) { name, epoch -> events += MembershipEvent.HostReplaced(name, epoch) }
    private val servers = BackendServerTable(invariants)
    private val summaries = RegionSummaries()
    private val suspects = SuspectFeed()
    private val neighbours = LinkedHashMap<String, Neighbour>()
    private val topology = Topology({ ownState }, peers, hosts, summaries, neighbours)
    private val reportScheduler =
        ReportScheduler({ ownState }, hosts, servers, summaries, suspects, neighbours, topology, predict)

    /** State of this host. */
    public val self: HostState get() = ownState

    /** Increases with each change of the backend servers; a lease that lapses is counted only by the next [tick]. */
    public val serverChanges: Long get() = servers.changeCount

    /** Highest manifest number that this host has seen. */
    public var newestManifest: Long = self.manifestNumber
        private set

    /** Registers a link that came up. */
    public fun linkUp(hostName: String, region: String, availabilityZone: String, epoch: Long) {
        neighbours[hostName] = Neighbour(hostName, region, availabilityZone, epoch)
        summaries.reset(hostName)
    }

    /** Removes a link that went down. */
    public fun linkDown(hostName: String) {
        neighbours.remove(hostName)
    }

    /** Called when a frame of [tick] or [receive] could not be queued; makes the next reports to the host complete. */
    public fun sendFailed(hostName: String) {
        neighbours[hostName]?.reset()
        summaries.reset(hostName)
    }

    /** Applies [change] to the state that this host reports. */
    public fun update(change: (HostState) -> HostState) {
        val next = change(ownState)
        val isSame = next.copy(loadPermille = ownState.loadPermille) == ownState
        ownState = if (isSame) next else next.copy(version = ownState.version + 1)
        newestManifest = maxOf(newestManifest, ownState.manifestNumber)
    }

    /** Advances the time to [nowMs] and returns the frames that are due. */
    public fun tick(nowMs: Long): List<Outgoing> {
        hosts.applyDirect(ownState, nowMs)
        hosts.tick(nowMs)
        servers.tick(nowMs)
        return reportScheduler.due(nowMs, newestManifest)
    }

    /** Processes a frame from a linked host and returns the frames to send immediately. */
    public fun receive(from: String, frame: LinkFrame, nowMs: Long): List<Outgoing> {
        val neighbour = neighbours[from] ?: return emptyList()
        frame.heartbeat?.let { handleHeartbeat(neighbour, it, nowMs) }
        frame.hostPulse?.let { handlePulse(neighbour, it, nowMs) }
        frame.regionDigest?.let { handleDigest(neighbour, it, nowMs) }
        frame.regionSummary?.let { handleSummary(neighbour, it, nowMs) }
        return frame.leavingNotice?.let { applyLeavingNotice(it, from, nowMs) }.orEmpty()
    }

    /** Processes an announcement of a backend server; the returned frames must be sent immediately. */
    public fun announce(
        announcement: Announcement,
        nowMs: Long,
    ): Either<RelayError, Pair<AnnouncementReply, List<Outgoing>>> {
        if (servers.isStale(announcement.name, announcement.incarnation)) {
            return RelayError(ErrorKind.STALE_INCARNATION).left()
        }
        val notice = LeavingNotice(announcement.name, announcement.incarnation)
        val frames = if (announcement.isLeaving) applyLeavingNotice(notice, null, nowMs) else emptyList()
        servers.applyReport(OWN_SOURCE, announcement.toState(), nowMs + LEASE_MS, nowMs)
        servers[announcement.name]?.let { it.renewals++ }
        return (AnnouncementReply(LEASE_MS, MembershipTimes.RENEWAL_INTERVAL_MS) to frames).right()
    }

    /** Distributes a suspect that this host detected. */
    public fun reportSuspect(suspect: SuspectState, nowMs: Long) {
        suspects.add(suspect, nowMs)
    }

    /** Returns the known hosts: those of this region, and those listed in the summaries of other regions. */
    public fun hosts(nowMs: Long): List<HostState> =
        hosts.all.map { it.state.copy(isSuspected = it.state.hostName != ownState.hostName && it.isSuspected(nowMs)) } +
            summaries.all.values.flatMap { it.first.hosts }

    /** Returns the entry hosts for a caller, best first. */
    public fun entryHosts(callerName: String, nowMs: Long): List<HostState> =
        EntryHostRanking.rank(callerName, ownState.region, ownState.availabilityZone, hosts(nowMs))

    /** Returns the backend servers that may receive new requests now. */
    public fun availableServers(nowMs: Long): List<BackendServerState> = servers.available(nowMs).map { it.state }

    /** Returns all known backend servers; those with a lapsed lease have a lease of 0 ms. */
    public fun allServers(): List<BackendServerState> =
        servers.all.map { if (it.sources.isEmpty()) it.state.copy(leaseMs = 0) else it.state }

    /** Returns the newest summary of each other region, with its arrival time. */
    public fun regionSummaries(): Map<String, Pair<RegionSummary, Long>> = summaries.all.toMap()

    /** Returns the link addresses of the hosts that this host should be connected to, by host name. */
    public fun wantedLinks(nowMs: Long): Map<String, String> = topology.wantedLinks(nowMs)

    /** Returns and clears the events since the last call. */
    public fun drainEvents(): List<MembershipEvent> = events.toList().also { events.clear() }

    private fun handleHeartbeat(from: Neighbour, heartbeat: Heartbeat, nowMs: Long) {
        if (heartbeat.host.hostName != from.hostName || heartbeat.host.epoch != from.epoch) return
        from.lastHeartbeatMs = nowMs
        hosts.applyDirect(heartbeat.host, nowMs)
        updateNewestManifest(heartbeat.host.manifestNumber)
        val source = HEARTBEAT_SOURCE_PREFIX + from.hostName
        heartbeat.backendServers.forEach {
            servers.applyReport(source, it, nowMs + minOf(REPORTED_LEASE_MS, it.leaseMs), nowMs)
        }
        heartbeat.loads?.let { servers.applyLoads(source, it, nowMs + REPORTED_LEASE_MS, nowMs) }
        addSuspects(heartbeat.suspects, nowMs)
    }

    private fun handlePulse(from: Neighbour, pulse: HostPulse, nowMs: Long) {
        if (!hosts.applyPulse(from.hostName, from.epoch, pulse.version, pulse.loadPermille, nowMs)) return
        from.lastHeartbeatMs = nowMs
        pulse.loads?.let {
            servers.applyLoads(HEARTBEAT_SOURCE_PREFIX + from.hostName, it, nowMs + REPORTED_LEASE_MS, nowMs)
        }
    }

    private fun handleDigest(from: Neighbour, digest: RegionDigest, nowMs: Long) {
        if (from.region != ownState.region) return
        val source =
            (if (digest.availabilityZone.isEmpty()) REGION_SOURCE_PREFIX else ZONE_SOURCE_PREFIX) + from.hostName
        if (digest.isFull) {
            hosts.removeSource(source)
            servers.removeSource(source)
        }
        digest.removedHosts.forEach { hosts.removeReport(source, it) }
        digest.removedBackendServers.forEach { servers.removeReport(source, it) }
        hosts.renewSource(source, nowMs)
        servers.renewSource(source, nowMs)
        digest.hosts.filter { it.region == ownState.region }.forEach { hosts.applyReport(source, it, nowMs) }
        digest.backendServers.forEach { servers.applyReport(source, it, NO_EXPIRY_MS, nowMs) }
        digest.loads?.let { servers.applyLoads(source, it, NO_EXPIRY_MS, nowMs) }
        addSuspects(digest.suspects, nowMs)
        updateNewestManifest(digest.manifestNumber)
    }

    private fun handleSummary(from: Neighbour, summary: RegionSummary, nowMs: Long) {
        if (summary.region == ownState.region) return
        val distance = when {
            from.region != ownState.region -> RegionSummaries.Distance.OTHER_REGION
            from.availabilityZone == ownState.availabilityZone -> RegionSummaries.Distance.OWN_ZONE
            else -> RegionSummaries.Distance.OTHER_ZONE
        }
        summaries.store(summary, distance, nowMs)
        updateNewestManifest(summary.manifestNumber)
    }

    /** Applies a notice and forwards it to every linked host of the region when it is seen for the first time. */
    private fun applyLeavingNotice(notice: LeavingNotice, from: String?, nowMs: Long): List<Outgoing> {
        if (!servers.markLeaving(notice.name, notice.incarnation, nowMs)) return emptyList()
        return neighbours.values.filter { it.region == ownState.region && it.hostName != from }
            .map { Outgoing(it.hostName, LinkFrame(leavingNotice = notice)) }
    }

    private fun addSuspects(states: List<SuspectState>, nowMs: Long) {
        states.filter { suspects.add(it, nowMs) }.forEach { events += MembershipEvent.Suspect(it) }
    }

    private fun updateNewestManifest(number: Long) {
        newestManifest = maxOf(newestManifest, number)
    }

    private fun Announcement.toState() = BackendServerState(
        name, service, region, availabilityZone, address, incarnation, sequence, capacity, models, adapters, role,
        running, queued, isLeaving, LEASE_MS,
    )

    internal companion object {
        const val OWN_SOURCE = ""
        const val HEARTBEAT_SOURCE_PREFIX = "heartbeat/"

        /** Source prefixes: digests of other zones' aggregators, and region digests of this zone's aggregators. */
        const val ZONE_SOURCE_PREFIX = "zone/"
        private const val REGION_SOURCE_PREFIX = "region/"

        // A renewal is sent with the next heartbeat, so up to one interval of the lease has elapsed on arrival.
        private const val REPORTED_LEASE_MS = LEASE_MS - MembershipTimes.HEARTBEAT_INTERVAL_MS
        private const val NO_EXPIRY_MS = Long.MAX_VALUE
    }
}
