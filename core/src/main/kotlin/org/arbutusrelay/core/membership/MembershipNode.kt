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

/** A frame to send. */
public data class Outgoing(val hostName: String, val frame: LinkFrame)

/** What a [MembershipNode] noticed. */
public sealed interface MembershipEvent {
    /** Another host reported [suspect]. */
    public data class Suspect(val suspect: SuspectState) : MembershipEvent

    /** The process [oldEpoch] of a host was replaced or removed. */
    public data class HostReplaced(val hostName: String, val oldEpoch: Long) : MembershipEvent
}

/**
 * Membership of one process: hosts, backend servers and region summaries (section 10 of the design).
 *
 * [tick] is called about every 100 ms. Not safe for concurrent use. [self] is the first state of this host.
 */
public class MembershipNode(
    self: HostState,
    peers: List<PeerSettings>,
    invariants: Invariants,
    predict: ColdPrediction = { _, _, _, _ -> 0 },
) {
    private var own = self
    private val events = ArrayList<MembershipEvent>()
    private val hosts = HostTable(self.hostName) { name, epoch -> events += MembershipEvent.HostReplaced(name, epoch) }
    private val servers = BackendServerTable(invariants)
    private val summaries = RegionSummaries()
    private val suspects = SuspectFeed()
    private val neighbours = LinkedHashMap<String, Neighbour>()
    private val topology = Topology({ own }, peers, hosts, summaries, neighbours)
    private val reports = Reports({ own }, hosts, servers, summaries, suspects, neighbours, topology, predict)

    /** State of this host. */
    public val self: HostState get() = own

    /** Increases with each change of the backend servers that may take work; it says nothing of leases that lapse. */
    public val serverChanges: Long get() = servers.changeCount

    /** Highest manifest number that this host has heard of. */
    public var newestManifest: Long = self.manifestNumber
        private set

    /** Notes a link that came up. */
    public fun linkUp(hostName: String, region: String, availabilityZone: String, epoch: Long) {
        neighbours[hostName] = Neighbour(hostName, region, availabilityZone, epoch)
        summaries.reset(hostName)
    }

    /** Notes a link that went down. */
    public fun linkDown(hostName: String) {
        neighbours.remove(hostName)
    }

    /** Notes that a frame of [tick] or [receive] was not queued; the next ones are complete again. */
    public fun sendFailed(hostName: String) {
        neighbours[hostName]?.reset()
        summaries.reset(hostName)
    }

    /** Changes what this host says of itself. */
    public fun update(change: (HostState) -> HostState) {
        val next = change(own)
        val isSame = next.copy(loadPermille = own.loadPermille) == own
        own = if (isSame) next else next.copy(version = own.version + 1)
        newestManifest = maxOf(newestManifest, own.manifestNumber)
    }

    /** Lets time pass and returns the frames that are due. */
    public fun tick(nowMs: Long): List<Outgoing> {
        hosts.hear(own, nowMs)
        hosts.tick(nowMs)
        servers.tick(nowMs)
        return reports.due(nowMs, newestManifest)
    }

    /** Takes a frame of a linked host and returns the frames to send at once. */
    public fun receive(from: String, frame: LinkFrame, nowMs: Long): List<Outgoing> {
        val neighbour = neighbours[from] ?: return emptyList()
        frame.heartbeat?.let { heartbeat(neighbour, it, nowMs) }
        frame.hostPulse?.let { pulse(neighbour, it, nowMs) }
        frame.regionDigest?.let { digest(neighbour, it, nowMs) }
        frame.regionSummary?.let { summary(neighbour, it, nowMs) }
        return frame.leavingNotice?.let { leave(it, from, nowMs) }.orEmpty()
    }

    /** Takes an announcement of a backend server; the frames are to be sent at once. */
    public fun announce(
        announcement: Announcement,
        nowMs: Long,
    ): Either<RelayError, Pair<AnnouncementReply, List<Outgoing>>> {
        if (servers.isStale(announcement.name, announcement.incarnation)) {
            return RelayError(ErrorKind.STALE_INCARNATION).left()
        }
        val notice = LeavingNotice(announcement.name, announcement.incarnation)
        val frames = if (announcement.isLeaving) leave(notice, null, nowMs) else emptyList()
        servers.learn(OWN, announcement.toState(), nowMs + LEASE_MS, nowMs)
        servers[announcement.name]?.let { it.renewals++ }
        return (AnnouncementReply(LEASE_MS, MembershipTimes.RENEW_MS) to frames).right()
    }

    /** Spreads a suspect that this host found. */
    public fun reportSuspect(suspect: SuspectState, nowMs: Long) {
        suspects.add(suspect, nowMs)
    }

    /** Returns the known hosts: those of this region, and those that other regions name. */
    public fun hosts(nowMs: Long): List<HostState> =
        hosts.all.map { it.state.copy(isSuspected = it.state.hostName != own.hostName && it.isSuspected(nowMs)) } +
            summaries.all.values.flatMap { it.first.hosts }

    /** Returns the entry hosts for a caller, best first. */
    public fun entryHosts(callerName: String, nowMs: Long): List<HostState> =
        EntryHostRanking.rank(callerName, own.region, own.availabilityZone, hosts(nowMs))

    /** Returns the backend servers that may take new work now. */
    public fun availableServers(nowMs: Long): List<BackendServerState> = servers.available(nowMs).map { it.state }

    /** Returns all known backend servers; those that lapsed have a lease of 0 ms. */
    public fun allServers(): List<BackendServerState> =
        servers.all.map { if (it.sources.isEmpty()) it.state.copy(leaseMs = 0) else it.state }

    /** Returns the newest summary of each other region, with its arrival. */
    public fun regionSummaries(): Map<String, Pair<RegionSummary, Long>> = summaries.all.toMap()

    /** Returns the link addresses of the hosts that this host shall be connected to, by name. */
    public fun wantedLinks(nowMs: Long): Map<String, String> = topology.wanted(nowMs)

    /** Returns the events since the last call. */
    public fun drainEvents(): List<MembershipEvent> = events.toList().also { events.clear() }

    private fun heartbeat(from: Neighbour, heartbeat: Heartbeat, nowMs: Long) {
        if (heartbeat.host.hostName != from.hostName || heartbeat.host.epoch != from.epoch) return
        from.heardMs = nowMs
        hosts.hear(heartbeat.host, nowMs)
        noteManifest(heartbeat.host.manifestNumber)
        val source = HEARTBEAT + from.hostName
        heartbeat.backendServers.forEach {
            servers.learn(source, it, nowMs + minOf(REPORTED_LEASE_MS, it.leaseMs), nowMs)
        }
        heartbeat.loads?.let { servers.learnLoads(source, it, nowMs + REPORTED_LEASE_MS, nowMs) }
        learnSuspects(heartbeat.suspects, nowMs)
    }

    private fun pulse(from: Neighbour, pulse: HostPulse, nowMs: Long) {
        if (!hosts.hearPulse(from.hostName, from.epoch, pulse.version, pulse.loadPermille, nowMs)) return
        from.heardMs = nowMs
        pulse.loads?.let { servers.learnLoads(HEARTBEAT + from.hostName, it, nowMs + REPORTED_LEASE_MS, nowMs) }
    }

    private fun digest(from: Neighbour, digest: RegionDigest, nowMs: Long) {
        if (from.region != own.region) return
        val source = (if (digest.availabilityZone.isEmpty()) REGION else ZONE) + from.hostName
        if (digest.isFull) {
            hosts.forgetSource(source)
            servers.forgetSource(source)
        }
        digest.removedHosts.forEach { hosts.forget(source, it) }
        digest.removedBackendServers.forEach { servers.forget(source, it) }
        hosts.renewSource(source, nowMs)
        servers.renewSource(source, nowMs)
        digest.hosts.filter { it.region == own.region }.forEach { hosts.learn(source, it, nowMs) }
        digest.backendServers.forEach { servers.learn(source, it, FOREVER, nowMs) }
        digest.loads?.let { servers.learnLoads(source, it, FOREVER, nowMs) }
        learnSuspects(digest.suspects, nowMs)
        noteManifest(digest.manifestNumber)
    }

    private fun summary(from: Neighbour, summary: RegionSummary, nowMs: Long) {
        if (summary.region == own.region) return
        val distance = when {
            from.region != own.region -> RegionSummaries.Distance.OTHER_REGION
            from.availabilityZone == own.availabilityZone -> RegionSummaries.Distance.OWN_ZONE
            else -> RegionSummaries.Distance.OTHER_ZONE
        }
        summaries.learn(summary, distance, nowMs)
        noteManifest(summary.manifestNumber)
    }

    /** Applies a notice and passes it on to every linked host of the region the first time it is seen. */
    private fun leave(notice: LeavingNotice, from: String?, nowMs: Long): List<Outgoing> {
        if (!servers.leave(notice.name, notice.incarnation, nowMs)) return emptyList()
        return neighbours.values.filter { it.region == own.region && it.hostName != from }
            .map { Outgoing(it.hostName, LinkFrame(leavingNotice = notice)) }
    }

    private fun learnSuspects(states: List<SuspectState>, nowMs: Long) {
        states.filter { suspects.add(it, nowMs) }.forEach { events += MembershipEvent.Suspect(it) }
    }

    private fun noteManifest(number: Long) {
        newestManifest = maxOf(newestManifest, number)
    }

    private fun Announcement.toState() = BackendServerState(
        name, service, region, availabilityZone, address, incarnation, sequence, capacity, models, adapters, role,
        running, queued, isLeaving, LEASE_MS,
    )

    internal companion object {
        const val OWN = ""
        const val HEARTBEAT = "heartbeat/"

        /** Prefixes of sources: the digest of another zone's aggregator, and the region digest of an own aggregator. */
        const val ZONE = "zone/"
        private const val REGION = "region/"

        // A renewal waits for the next heartbeat, so that up to one interval of the lease has passed on arrival.
        private const val REPORTED_LEASE_MS = LEASE_MS - MembershipTimes.HEARTBEAT_MS
        private const val FOREVER = Long.MAX_VALUE
    }
}
