package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.site.BackendServerRegistry
import org.arbutusrelay.core.site.HostRegistry
import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.BackendDeparture
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SiteDigest
import org.arbutusrelay.schema.message.SiteHost
import org.arbutusrelay.schema.message.SiteReport
import org.arbutusrelay.schema.message.SiteState
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicReference

/**
 * Replicates site membership and state between hosts: hosts, backend servers, current document and evacuations.
 *
 * State hosts form a full mesh and exchange all data. An entry host reports to a majority of the state hosts, those of
 * its region first, and receives digests from them: a full one every second and changes immediately. The name of a host
 * is its IP address because a seed is configured only by address; [linkPort] is the same on all hosts.
 */
public class SiteService(
    private val network: LinkNetwork,
    self: HostState,
    @Volatile private var seeds: List<String>,
    private val linkPort: Int,
    private val clock: RelayClock,
    private val times: SiteTimes = SiteTimes(),
    private val otherStateHosts: () -> Set<String> = { emptySet() },
) : FrameReceiver {
    private val publishLock = Any()
    private val hosts = HostRegistry()
    private val servers = BackendServerRegistry(times.backendLeaseMs)
    private val selector = StateHostSelector(self.hostName, self.region)
    private val dialledHosts = HashSet<String>()
    private val subscriptions = HashMap<String, Subscription>()
    private val statePushedAtMs = HashMap<String, Long>()
    private val unreportedLoads = LinkedHashMap<String, BackendLoad>()
    private val listeners = CopyOnWriteArrayList<(SiteView) -> Unit>()
    private var self = self
    private var state = SiteStateMachine.EMPTY
    private var nextReportAtMs = 0L
    private val currentView = AtomicReference(SiteView(SiteStateMachine.EMPTY, listOf(self), emptyList(), 0))

    /** The current view of this host. */
    public val view: SiteView get() = currentView.get()

    /** Calls [listener] after each change and on each tick, in the order of the views; it must not block. */
    public fun addListener(listener: (SiteView) -> Unit) {
        listeners += listener
    }

    /** Starts receiving frames and sending reports or digests. */
    public fun start(scope: CoroutineScope) {
        network.addReceiver(this)
        scope.launch {
            while (true) {
                tick()
                delay(times.tickIntervalMs)
            }
        }
    }

    /** Replaces the seeds after a settings reload. */
    public fun replaceSeeds(newSeeds: List<String>) {
        seeds = newSeeds
    }

    /** Returns the names of all known state hosts, which may run replicas. */
    public fun stateHosts(): Set<String> = stateHostRegions().keys

    /** Updates the published state of this host and sends it immediately. */
    public fun updateSelf(change: (HostState) -> HostState) {
        synchronized(this) {
            self = change(self).copy(version = self.version + 1)
            nextReportAtMs = 0
        }
        tick()
    }

    /** Applies [newer] and, on a state host, forwards it to subscribers; ignores a state that is not newer. */
    public fun install(newer: SiteState) {
        val isNewer = synchronized(this) {
            if (newer.index <= state.index) return@synchronized false
            val reopenedZones = state.evacuatedZones - newer.evacuatedZones.toSet()
            // Backend servers may have become cold while their zone received no requests.
            reopenedZones.forEach { servers.markCold(it, COLD_AFTER_EVACUATION_MS, clock.nowMs()) }
            state = newer
            true
        }
        if (!isNewer) return
        if (self.isStateHost) subscribers().forEach { push(it, newer) }
        publish()
    }

    /** Processes an announcement of a backend server. */
    public fun announce(server: BackendServerState) {
        val nowMs = clock.nowMs()
        val merged = synchronized(this) {
            if (servers.announce(server, nowMs)) servers.state(server.name, nowMs) else null
        } ?: return
        sendDigest(digest(servers = listOf(merged)), digestTargets())
        publish()
    }

    /** Processes the notice that a backend server is shutting down. */
    public fun deregister(name: String, incarnation: Long?) {
        val departure = synchronized(this) { servers.recordDeparture(name, incarnation, clock.nowMs()) }
        sendDigest(digest(departures = listOf(departure)), digestTargets())
        publish()
    }

    /** Records the load of a backend server that was reported in a response. */
    public fun observe(load: BackendLoad): Unit = synchronized(this) {
        servers.recordLoad(load, clock.nowMs())
        unreportedLoads[load.name] = load.copy(ageMs = clock.nowMs())
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.siteReport?.let { onReport(from, it) }
        frame.siteDigest?.let { onDigest(from, it) }
        frame.siteState?.let { if (!self.isStateHost) install(it) }
    }

    private fun onReport(from: HostIdentity, report: SiteReport) {
        val nowMs = clock.nowMs()
        var isNewSubscriber = false
        val isHostChanged = synchronized(this) {
            isNewSubscriber = subscriptions.put(from.hostName, Subscription(from.epoch, nowMs))?.epoch != from.epoch
            if (isNewSubscriber) statePushedAtMs.remove(from.hostName)
            report.loads.forEach { servers.recordLoad(it, nowMs) }
            hosts.recordReport(report.host, nowMs)
        }
        if (isHostChanged) {
            sendDigest(digest(hosts = listOf(SiteHost(report.host, 0))), digestTargets() - from.hostName)
            publish()
        }
        if (isNewSubscriber) sendDigest(fullDigest(nowMs), setOf(from.hostName))
        pushIfBehind(from.hostName, report.stateIndex, nowMs)
    }

    override fun onLinkUp(host: HostIdentity) {
        // A newly started entry host needs the site state before its next periodic report is due.
        if (!self.isStateHost) sendReports(clock.nowMs())
    }

    private fun pushIfBehind(hostName: String, index: Long, nowMs: Long) {
        val newer = synchronized(this) {
            val isDue = nowMs - (statePushedAtMs[hostName] ?: Long.MIN_VALUE / 2) >= times.statePushIntervalMs
            state.takeIf { index < it.index && isDue }
        } ?: return
        push(hostName, newer)
    }

    private fun push(hostName: String, newer: SiteState) {
        if (network.send(hostName, LinkFrame(siteState = newer))) {
            synchronized(this) { statePushedAtMs[hostName] = clock.nowMs() }
        }
    }

    private fun onDigest(from: HostIdentity, digest: SiteDigest) {
        val nowMs = clock.nowMs()
        val changedServers = ArrayList<BackendServerState>()
        val newDepartures = ArrayList<BackendDeparture>()
        val changedHosts = ArrayList<SiteHost>()
        synchronized(this) {
            digest.departures.forEach { if (servers.merge(it, nowMs)) newDepartures += it }
            digest.backendServers.forEach { if (servers.merge(it, nowMs)) changedServers += it }
            digest.loads.forEach { servers.recordLoad(it, nowMs) }
            digest.hosts.filter { it.host.hostName != self.hostName }.forEach {
                if (hosts.merge(it.host, it.ageMs, nowMs)) changedHosts += it
            }
        }
        val isChanged = changedServers.isNotEmpty() || newDepartures.isNotEmpty() || changedHosts.isNotEmpty()
        if (!isChanged) return
        if (self.isStateHost) {
            sendDigest(digest(changedHosts, changedServers, newDepartures), subscribers() - from.hostName)
        }
        publish()
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        synchronized(this) {
            hosts.recordReport(self, nowMs)
            hosts.tick(nowMs)
            servers.tick(nowMs)
        }
        maintainLinks()
        if (nowMs >= nextReportAtMs) {
            nextReportAtMs = nowMs + times.reportIntervalMs
            if (self.isStateHost) sendFullDigests(nowMs) else sendReports(nowMs)
        }
        publish()
    }

    private fun maintainLinks() {
        val known = stateHostRegions() - self.hostName
        if (self.isStateHost) return known.keys.forEach(::dial)
        val ranked = selector.rank(known)
        selector.nextToDial(ranked, network.connected().keys, dialledHosts)?.let(::dial)
    }

    private fun stateHostRegions(): Map<String, String> {
        val known = view.hosts.filter { it.isStateHost }.associate { it.hostName to it.region }
        return (seeds + otherStateHosts()).associateWith { known[it].orEmpty() } + known
    }

    private fun dial(hostName: String) {
        if (dialledHosts.add(hostName)) network.connect(hostName, "$hostName:$linkPort")
    }

    private fun sendReports(nowMs: Long) {
        val report = synchronized(this) {
            val loads = unreportedLoads.values.map { it.copy(ageMs = nowMs - it.ageMs) }
            unreportedLoads.clear()
            SiteReport(self, state.index, loads)
        }
        val ranked = selector.rank(stateHostRegions() - self.hostName)
        selector.reportTargets(ranked, network.connected().keys)
            .forEach { network.send(it, LinkFrame(siteReport = report)) }
    }

    private fun sendFullDigests(nowMs: Long) = sendDigest(fullDigest(nowMs), digestTargets())

    private fun fullDigest(nowMs: Long): SiteDigest = synchronized(this) {
        SiteDigest(
            stateIndex = state.index,
            isFull = true,
            hosts = hosts.hosts(nowMs),
            backendServers = servers.states(nowMs),
            departures = servers.departures(nowMs),
            loads = servers.loads(nowMs, times.loadMaxAgeMs),
        )
    }

    /** Returns the subscribed entry hosts and all connected state hosts. */
    private fun digestTargets(): Set<String> = subscribers() + (stateHosts() intersect network.connected().keys)

    private fun subscribers(): Set<String> = synchronized(this) {
        val nowMs = clock.nowMs()
        subscriptions.values.removeIf { nowMs - it.atMs > times.subscriptionTimeoutMs }
        subscriptions.keys.toSet()
    }

    private fun digest(
        hosts: List<SiteHost> = emptyList(),
        servers: List<BackendServerState> = emptyList(),
        departures: List<BackendDeparture> = emptyList(),
    ) = SiteDigest(synchronized(this) { state.index }, false, hosts, servers, departures)

    private fun sendDigest(digest: SiteDigest, targets: Set<String>) {
        val frame = LinkFrame(siteDigest = digest)
        (targets - self.hostName).forEach { network.send(it, frame) }
    }

    /** Builds a view and passes it to the listeners; the lock ensures that no listener receives an older view last. */
    private fun publish() = synchronized(publishLock) {
        val nowMs = clock.nowMs()
        val next = synchronized(this) { SiteView(state, hosts.live(nowMs), servers.states(nowMs), nowMs) }
        currentView.set(next)
        listeners.forEach { it(next) }
    }

    /** The last report of an entry host; a new epoch is a restarted process that needs a full digest. */
    private class Subscription(val epoch: Long, val atMs: Long)

    private companion object {
        /** Covers the time until the next announcement reports the actual state; one comes about every 1,200 ms. */
        const val COLD_AFTER_EVACUATION_MS = 3_000L
    }
}
