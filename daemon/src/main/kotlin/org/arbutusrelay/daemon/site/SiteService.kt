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
 * Exchanges with other hosts what a site consists of: hosts, backend servers, the document in force and evacuations.
 *
 * State hosts are linked with each other and tell one another everything. An entry host reports to a majority of the
 * state hosts, those of its region first, and gets digests from these: once a second in full, and changes at once. A
 * host is named by its IP address, because seeds are known by nothing else; [linkPort] is the same on all hosts.
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
    private val publishing = Any()
    private val hosts = HostRegistry()
    private val servers = BackendServerRegistry(times.backendLeaseMs)
    private val choice = StateHostChoice(self.hostName, self.region)
    private val dialled = HashSet<String>()
    private val subscriptions = HashMap<String, Subscription>()
    private val pushedMs = HashMap<String, Long>()
    private val freshLoads = LinkedHashMap<String, BackendLoad>()
    private val listeners = CopyOnWriteArrayList<(SiteView) -> Unit>()
    private var self = self
    private var state = SiteStateMachine.EMPTY
    private var nextReportMs = 0L
    private val latest = AtomicReference(SiteView(SiteStateMachine.EMPTY, listOf(self), emptyList(), 0))

    /** What this host knows now. */
    public val view: SiteView get() = latest.get()

    /** Calls [listener] after each change and at least once a tick, in order of the views; it must not block. */
    public fun addListener(listener: (SiteView) -> Unit) {
        listeners += listener
    }

    /** Starts to take frames and to report. */
    public fun start(scope: CoroutineScope) {
        network.addReceiver(this)
        scope.launch {
            while (true) {
                tick()
                delay(times.tickMs)
            }
        }
    }

    /** Replaces the seeds, after a change of the settings. */
    public fun replaceSeeds(newSeeds: List<String>) {
        seeds = newSeeds
    }

    /** Names of all hosts that may run a replica, as far as they are known. */
    public fun stateHosts(): Set<String> = stateHostRegions().keys

    /** Changes what this host says of itself and tells it at once. */
    public fun updateSelf(change: (HostState) -> HostState) {
        synchronized(this) {
            self = change(self).copy(version = self.version + 1)
            nextReportMs = 0
        }
        tick()
    }

    /** Puts [newer] in force here and passes it on; an older state changes nothing. */
    public fun install(newer: SiteState) {
        val isNewer = synchronized(this) {
            if (newer.index <= state.index) return@synchronized false
            val returned = state.evacuatedZones - newer.evacuatedZones.toSet()
            // A backend server may have become cold while its zone got no requests.
            returned.forEach { servers.markCold(it, COLD_AFTER_RETURN_MS, clock.nowMs()) }
            state = newer
            true
        }
        if (!isNewer) return
        if (self.isStateHost) subscribers().forEach { push(it, newer) }
        publish()
    }

    /** Takes an announcement of a backend server. */
    public fun announce(server: BackendServerState) {
        val nowMs = clock.nowMs()
        val merged = synchronized(this) {
            if (servers.announce(server, nowMs)) servers.state(server.name, nowMs) else null
        } ?: return
        tellChange(digest(servers = listOf(merged)), connectedHosts())
        publish()
    }

    /** Takes the notice that a backend server ends. */
    public fun depart(name: String, incarnation: Long?) {
        val departure = synchronized(this) { servers.recordDeparture(name, incarnation, clock.nowMs()) }
        tellChange(digest(departures = listOf(departure)), connectedHosts())
        publish()
    }

    /** Notes the load of a backend server that a response told. */
    public fun observe(load: BackendLoad): Unit = synchronized(this) {
        servers.recordLoad(load, clock.nowMs())
        freshLoads[load.name] = load.copy(ageMs = clock.nowMs())
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.siteReport?.let { onReport(from, it) }
        frame.siteDigest?.let { onDigest(from, it) }
        frame.siteState?.let { if (!self.isStateHost) install(it) }
    }

    private fun onReport(from: HostIdentity, report: SiteReport) {
        val nowMs = clock.nowMs()
        var isNewSubscriber = false
        val isNews = synchronized(this) {
            isNewSubscriber = subscriptions.put(from.hostName, Subscription(from.epoch, nowMs))?.epoch != from.epoch
            if (isNewSubscriber) pushedMs.remove(from.hostName)
            report.loads.forEach { servers.recordLoad(it, nowMs) }
            hosts.recordReport(report.host, nowMs)
        }
        if (isNews) {
            tellChange(digest(hosts = listOf(SiteHost(report.host, 0))), connectedHosts() - from.hostName)
            publish()
        }
        if (isNewSubscriber) tellChange(fullDigest(nowMs), setOf(from.hostName))
        pushIfBehind(from.hostName, report.stateIndex, nowMs)
    }

    override fun onLinkUp(host: HostIdentity) {
        // An entry host that has just started must not wait for its next report to learn what it serves with.
        if (!self.isStateHost) sendReports(clock.nowMs())
    }

    private fun pushIfBehind(hostName: String, index: Long, nowMs: Long) {
        val newer = synchronized(this) {
            val isDue = nowMs - (pushedMs[hostName] ?: Long.MIN_VALUE / 2) >= times.statePushMs
            state.takeIf { index < it.index && isDue }
        } ?: return
        push(hostName, newer)
    }

    private fun push(hostName: String, newer: SiteState) {
        if (network.send(hostName, LinkFrame(siteState = newer))) {
            synchronized(this) { pushedMs[hostName] = clock.nowMs() }
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
            tellChange(digest(changedHosts, changedServers, newDepartures), subscribers() - from.hostName)
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
        keepLinks()
        if (nowMs >= nextReportMs) {
            nextReportMs = nowMs + times.reportMs
            if (self.isStateHost) sendDigests(nowMs) else sendReports(nowMs)
        }
        publish()
    }

    private fun keepLinks() {
        val known = stateHostRegions() - self.hostName
        if (self.isStateHost) return known.keys.forEach(::dial)
        val ranked = choice.rank(known)
        choice.next(ranked, network.connected().keys, dialled)?.let(::dial)
    }

    private fun stateHostRegions(): Map<String, String> {
        val known = view.hosts.filter { it.isStateHost }.associate { it.hostName to it.region }
        return (seeds + otherStateHosts()).associateWith { known[it].orEmpty() } + known
    }

    private fun dial(hostName: String) {
        if (dialled.add(hostName)) network.connect(hostName, "$hostName:$linkPort")
    }

    private fun sendReports(nowMs: Long) {
        val report = synchronized(this) {
            val loads = freshLoads.values.map { it.copy(ageMs = nowMs - it.ageMs) }
            freshLoads.clear()
            SiteReport(self, state.index, loads)
        }
        val ranked = choice.rank(stateHostRegions() - self.hostName)
        choice.active(ranked, network.connected().keys).forEach { network.send(it, LinkFrame(siteReport = report)) }
    }

    private fun sendDigests(nowMs: Long) = tellChange(fullDigest(nowMs), connectedHosts())

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

    /** Entry hosts that report here, and all state hosts with a link. */
    private fun connectedHosts(): Set<String> = subscribers() + (stateHosts() intersect network.connected().keys)

    private fun subscribers(): Set<String> = synchronized(this) {
        val nowMs = clock.nowMs()
        subscriptions.values.removeIf { nowMs - it.atMs > times.subscriptionMs }
        subscriptions.keys.toSet()
    }

    private fun digest(
        hosts: List<SiteHost> = emptyList(),
        servers: List<BackendServerState> = emptyList(),
        departures: List<BackendDeparture> = emptyList(),
    ) = SiteDigest(synchronized(this) { state.index }, false, hosts, servers, departures)

    private fun tellChange(digest: SiteDigest, targets: Set<String>) {
        val frame = LinkFrame(siteDigest = digest)
        (targets - self.hostName).forEach { network.send(it, frame) }
    }

    /** Builds a view and hands it to the listeners; a listener that got an older one last would go back in time. */
    private fun publish() = synchronized(publishing) {
        val nowMs = clock.nowMs()
        val next = synchronized(this) { SiteView(state, hosts.live(nowMs), servers.states(nowMs), nowMs) }
        latest.set(next)
        listeners.forEach { it(next) }
    }

    /** The last report of an entry host; another epoch is a process that knows nothing yet. */
    private class Subscription(val epoch: Long, val atMs: Long)

    private companion object {
        /** Until the next announcement tells the truth; announcements come about every 1,200 ms. */
        const val COLD_AFTER_RETURN_MS = 3_000L
    }
}
