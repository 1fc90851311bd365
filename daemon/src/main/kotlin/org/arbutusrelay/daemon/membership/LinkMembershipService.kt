package org.arbutusrelay.daemon.membership

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.ColdPrediction
import org.arbutusrelay.core.membership.MembershipEvent
import org.arbutusrelay.core.membership.MembershipNode
import org.arbutusrelay.core.membership.MembershipTimes
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.AnnouncementReply
import org.arbutusrelay.schema.api.EntryHost
import org.arbutusrelay.schema.api.EntryHostList
import org.arbutusrelay.schema.api.HostList
import org.arbutusrelay.schema.api.HostView
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SuspectState
import org.arbutusrelay.schema.settings.PeerSettings
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeSource

/**
 * Runs a [MembershipNode] over the links of this daemon.
 *
 * [self] is the initial state of this host and must have the process epoch of [network]. Inactive until [start].
 */
public class LinkMembershipService(
    private val network: LinkNetwork,
    self: HostState,
    peers: List<PeerSettings>,
    private val scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
    invariants: Invariants = Invariants(),
    predict: ColdPrediction = { _, _, _, _ -> 0 },
) : MembershipService {
    private val origin = timeSource.markNow()
    private val lock = Any()
    private val node = MembershipNode(self, peers, invariants, predict)
    private val available = AtomicReference(AvailableSnapshot(emptyList(), 0))
    private val listeners = CopyOnWriteArrayList<MembershipListener>()
    private var notifiedHosts: List<Any> = emptyList()

    /** Highest manifest number reported by any host. */
    public val newestManifest: Long get() = synchronized(lock) { node.newestManifest }

    init {
        require(network.self.epoch == self.epoch) { "the link network of ${self.hostName} has another process epoch" }
    }

    /** Connects to the peers; runs until the returned job or the scope is cancelled. */
    public fun start(): Job {
        network.addReceiver(Receiver())
        synchronized(lock) { network.connected().values.forEach(::linkUp) }
        return scope.launch {
            while (true) {
                step { node.tick(nowMs()) }
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Returns the current time on the clock of [TimedSummary.receivedAtMs], in milliseconds. */
    public fun nowMs(): Long = origin.elapsedNow().inWholeMilliseconds

    /** Updates the published state of this host: load, manifest number and addresses. */
    public fun updateSelf(change: (HostState) -> HostState): Unit = synchronized(lock) { node.update(change) }

    override fun entryHosts(callerName: String): EntryHostList = synchronized(lock) {
        val hosts = node.entryHosts(callerName, nowMs())
            .map { EntryHost(it.hostName, it.region, it.availabilityZone, it.callerAddress) }
        EntryHostList(hosts, MembershipTimes.LIST_LIFETIME_MS, node.self.manifestNumber)
    }

    override fun hosts(): HostList = synchronized(lock) { HostList(node.hosts(nowMs()).map { it.toView() }) }

    override fun announce(announcement: Announcement): Either<RelayError, AnnouncementReply> {
        var result: Either<RelayError, AnnouncementReply>? = null
        step {
            val announced = node.announce(announcement, nowMs())
            result = announced.map { it.first }
            announced.fold({ emptyList() }, { it.second })
        }
        return checkNotNull(result)
    }

    override fun availableBackendServers(): List<BackendServerState> {
        val cached = available.get()
        // Checks leases again when ticks are late, for example after a pause of the process.
        return if (nowMs() - cached.atMs <= MAX_AGE_MS) cached.servers else synchronized(lock) { refresh().servers }
    }

    override fun backendServers(): List<BackendServerState> = synchronized(lock) { node.allServers() }

    override fun regionSummaries(): Map<String, TimedSummary> = synchronized(lock) {
        node.regionSummaries().mapValues { (_, timed) -> TimedSummary(timed.first, timed.second) }
    }

    override fun reportSuspect(suspect: SuspectState): Unit =
        synchronized(lock) { node.reportSuspect(suspect, nowMs()) }

    override fun addListener(listener: MembershipListener) {
        listeners += listener
    }

    override fun startLeaving(): Unit = step {
        node.update { it.copy(isLeaving = true) }
        node.tick(nowMs())
    }

    /** Runs [action] under the lock, sends its frames in order, and then notifies the listeners. */
    private fun step(action: () -> List<Outgoing>) {
        var isChanged = false
        val events = synchronized(lock) {
            action().forEach { if (!network.send(it.hostName, it.frame)) node.sendFailed(it.hostName) }
            node.wantedLinks(nowMs()).forEach { (name, address) -> network.connect(name, address) }
            isChanged = isChanged()
            node.drainEvents()
        }
        for (event in events) for (listener in listeners) notify(listener, event)
        if (isChanged || events.isNotEmpty()) listeners.forEach { it.onChange() }
    }

    private fun isChanged(): Boolean {
        val before = available.get().servers
        val hosts = node.hosts(nowMs()).map { it.copy(version = 0) } + node.regionSummaries().values
        val isChanged = refresh().servers != before || hosts != notifiedHosts
        notifiedHosts = hosts
        return isChanged
    }

    private fun refresh(): AvailableSnapshot =
        AvailableSnapshot(node.availableServers(nowMs()), nowMs()).also(available::set)

    private fun notify(listener: MembershipListener, event: MembershipEvent): Unit = when (event) {
        is MembershipEvent.Suspect -> listener.onSuspect(event.suspect)
        is MembershipEvent.HostReplaced -> listener.onHostReplaced(event.hostName, event.oldEpoch)
    }

    private fun linkUp(host: HostIdentity) = node.linkUp(host.hostName, host.region, host.availabilityZone, host.epoch)

    private fun HostState.toView() = HostView(
        hostName, region, availabilityZone, epoch, callerAddress, loadPermille, isLeaving, isSuspected, isStateHost,
        manifestNumber,
    )

    private inner class Receiver : FrameReceiver {
        override fun onFrame(from: HostIdentity, frame: LinkFrame) {
            when {
                frame.leavingNotice != null -> step { node.receive(from.hostName, frame, nowMs()) }

                // Heartbeats and digests are frequent, so listeners are notified on the next tick.
                frame.isMembership() -> synchronized(lock) { node.receive(from.hostName, frame, nowMs()) }
            }
        }

        override fun onLinkUp(host: HostIdentity): Unit = synchronized(lock) { this@LinkMembershipService.linkUp(host) }

        override fun onLinkDown(host: HostIdentity): Unit = synchronized(lock) { node.linkDown(host.hostName) }
    }

    private class AvailableSnapshot(val servers: List<BackendServerState>, val atMs: Long)

    private companion object {
        const val TICK_INTERVAL_MS = 100L
        const val MAX_AGE_MS = 500L
    }
}

private fun LinkFrame.isMembership() =
    heartbeat != null || hostPulse != null || regionDigest != null || regionSummary != null
