package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.site.BackendServerRegistry
import org.arbutusrelay.core.site.HomeTraffic
import org.arbutusrelay.core.site.HostRegistry
import org.arbutusrelay.core.site.PendingChanges
import org.arbutusrelay.core.site.SitePulses
import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.core.site.ViewTrust
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.FailureGuard
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.HomeRequests
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SiteDigest
import org.arbutusrelay.schema.message.SiteHost
import org.arbutusrelay.schema.message.SitePulse
import org.arbutusrelay.schema.message.SiteReport
import org.arbutusrelay.schema.message.SiteState
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/**
 * Replicates site membership and state between hosts: hosts, backend servers, current document and evacuations.
 *
 * State hosts form a full mesh and exchange all data. An entry host reports to a majority of the state hosts, those of
 * its region first, and receives from them a digest of everything at first, changes at once, and pulses that renew
 * what it knows: every second from the first of them, its primary, and less often from the others. Changes that arrive
 * within [SiteTimes.batchDelayMs] are sent and published together. The name of a host is its IP address because a seed
 * is configured only by address; [linkPort] is the same on all hosts.
 */
public class SiteService(
    private val network: LinkNetwork,
    self: HostState,
    @Volatile private var seeds: List<String>,
    linkPort: Int,
    private val clock: RelayClock,
    private val times: SiteTimes = SiteTimes(),
    private val otherStateHosts: () -> Set<String> = { emptySet() },
    private val takeHomeRequests: () -> List<HomeRequests> = { emptyList() },
) : FrameReceiver {
    private val publishLock = Any()
    private val hosts = HostRegistry()
    private val servers = BackendServerRegistry(times.backendLeaseMs)
    private val links =
        StateHostLinks(network, linkPort, StateHostSelector(self.hostName, self.region), self.isStateHost)
    private val subscriptions = Subscriptions(times)
    private val unreportedLoads = LinkedHashMap<String, BackendLoad>()
    private val listeners = CopyOnWriteArrayList<(SiteView) -> Unit>()
    private var self = self
    private var state = SiteStateMachine.EMPTY
    private var stateSource = ""
    private var nextReportAtMs = 0L
    private var nextMeshDigestAtMs = 0L
    private var pulseSequence = 0L
    private val digestRequestedAtMs = HashMap<String, Long>()
    private val changesForAll = PendingChanges()
    private val changesForSubscribers = PendingChanges()
    private val isBatchScheduled = AtomicBoolean()
    private val isStatePushDue = AtomicBoolean()
    private val isLimitUnsent = AtomicBoolean()
    private val failures = FailureGuard("a step of the site service")

    /** True once this host may forward its state; see [confirmState]. */
    @Volatile
    public var isStateConfirmed: Boolean = !self.isStateHost
        private set

    @Volatile
    private var batchScope: CoroutineScope? = null

    @Volatile
    private var publishedAtMs = Long.MIN_VALUE / 2
    private val currentView = AtomicReference(SiteView(SiteStateMachine.EMPTY, listOf(self), emptyList(), 0))

    private val viewTrust = ViewTrust()

    /** Recent requests on routes with homes, on a state host. */
    public val homeTraffic: HomeTraffic = HomeTraffic()

    /** True while [view] is complete enough to conclude that a region has no hosts; see [ViewTrust]. */
    public val isViewWhole: Boolean get() = viewTrust.isWhole(clock.nowMs())

    /** What is known about prompt parts and requests that crash backend servers. */
    public val crashEvidence: CrashEvidenceReplica = CrashEvidenceReplica(clock, ::scheduleBatch)

    /** The current view of this host. */
    public val view: SiteView get() = currentView.get()

    /** Calls [listener] after changes and at intervals, in the order of the views; it must not block. */
    public fun addListener(listener: (SiteView) -> Unit) {
        listeners += listener
    }

    /** Starts receiving frames and sending reports or digests. */
    public fun start(scope: CoroutineScope) {
        network.addReceiver(this)
        batchScope = scope
        scope.launch {
            while (true) {
                failures.run(::tick)
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

    /**
     * Applies [newer] and, on a state host, forwards it to subscribers; ignores a state that is not newer.
     *
     * [source] is the state host that sent it; empty if the replica of this host did.
     *
     * A restarted state host installs every state since its snapshot in a moment; only the last of them is forwarded.
     */
    public fun install(newer: SiteState, source: String = "") {
        val isNewer = synchronized(this) {
            if (newer.index <= state.index) return@synchronized false
            val reopenedZones = state.evacuatedZones - newer.evacuatedZones.toSet()
            // Backend servers may have become cold while their zone received no requests.
            reopenedZones.forEach { servers.markCold(it, COLD_AFTER_EVACUATION_MS, clock.nowMs()) }
            state = newer
            stateSource = source
            true
        }
        if (!isNewer) return
        if (self.isStateHost) {
            isStatePushDue.set(true)
            scheduleBatch()
        }
        publish()
    }

    /**
     * Allows this state host to forward its state, which the replica group has confirmed.
     *
     * Until then the state may be an old one from its disk, and a host that starts at the same time would use it.
     * Returns true for the first call.
     */
    public fun confirmState(): Boolean {
        if (isStateConfirmed) return false
        isStateConfirmed = true
        isStatePushDue.set(true)
        scheduleBatch()
        return true
    }

    /** Processes an announcement of a backend server. */
    public fun announce(server: BackendServerState) {
        val nowMs = clock.nowMs()
        synchronized(this) {
            if (!servers.announce(server, nowMs)) return
            servers.state(server.name, nowMs)?.let { changesForAll.add(it) }
        }
        scheduleBatch()
        publish()
    }

    /** Processes the notice that a backend server is shutting down. */
    public fun deregister(name: String, incarnation: Long?) {
        synchronized(this) { changesForAll.add(servers.recordDeparture(name, incarnation, clock.nowMs())) }
        scheduleBatch()
        publish()
    }

    /** Records the load of a backend server that was reported in a response. */
    public fun observe(load: BackendLoad): Unit = synchronized(this) {
        servers.recordLoad(load, clock.nowMs())
        unreportedLoads[load.name] = load.copy(ageMs = clock.nowMs())
    }

    /**
     * Records the limit that a response of a backend server named, in thousandths of a request per second.
     *
     * [limitPermille] is null if it named none, and [sentMs] the time at which the request was sent. Other hosts are
     * told at once of a limit that is new, changed or ended.
     */
    public fun recordLimit(name: String, incarnation: Long, limitPermille: Long?, sentMs: Long) {
        val isChanged = synchronized(this) {
            servers.recordLimit(name, incarnation, limitPermille, sentMs, clock.nowMs())
        }
        if (!isChanged) return
        isLimitUnsent.set(true)
        scheduleBatch()
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.siteReport?.let { onReport(from, it) }
        frame.siteDigest?.let(::onDigest)
        frame.sitePulse?.let { onPulse(from, it) }
        frame.siteState?.let { if (!self.isStateHost) install(it, from.hostName) }
    }

    private fun onReport(from: HostIdentity, report: SiteReport) {
        val nowMs = clock.nowMs()
        val needsEveryPulse = report.primaryName.isEmpty() || report.primaryName == self.hostName
        val isNewSubscriber = subscriptions.record(from.hostName, from.epoch, needsEveryPulse, nowMs)
        val isChanged = synchronized(this) {
            report.loads.forEach { servers.recordLoad(it, nowMs) }
            homeTraffic.record(report.homeRequests, nowMs)
            val newDepartures = report.departures.filter { servers.merge(it, nowMs) }
            newDepartures.forEach(changesForAll::add)
            val limited = report.limits.filter { servers.merge(it, nowMs) }.mapNotNull { servers.state(it.name, nowMs) }
            limited.forEach(changesForAll::add)
            val isNew = hosts.recordReport(report.host, nowMs)
            if (isNew) changesForAll.add(SiteHost(report.host, 0))
            isNew || newDepartures.isNotEmpty() || limited.isNotEmpty()
        }
        val hasNewEvidence = crashEvidence.merge(report.crashEvidence) { synchronized(this) { changesForAll.add(it) } }
        if (isChanged || hasNewEvidence) scheduleBatch()
        if (isNewSubscriber || report.needsDigest) sendDigest(fullDigest(nowMs), setOf(from.hostName))
        val latest = synchronized(this) { state }
        val isBehind = report.stateIndex < latest.index && subscriptions.isPushDue(from.hostName, latest.index, nowMs)
        if (isBehind && isStateConfirmed) pushState(latest, setOf(from.hostName))
    }

    override fun onLinkUp(host: HostIdentity) {
        // A newly started host needs the state of the site before the next periodic message is due.
        val nowMs = clock.nowMs()
        when {
            !self.isStateHost -> {
                crashEvidence.repeatAll()
                sendReports(nowMs)
            }

            host.hostName in stateHosts() -> sendDigest(fullDigest(nowMs), setOf(host.hostName))
        }
    }

    private fun pushState(newer: SiteState, hostNames: Set<String>) {
        val receivers = hostNames intersect network.connected().keys
        network.sendAll(receivers, LinkFrame(siteState = newer))
        receivers.forEach { subscriptions.recordPush(it, newer.index, clock.nowMs()) }
    }

    private fun onDigest(digest: SiteDigest) {
        val nowMs = clock.nowMs()
        val isChanged = synchronized(this) {
            val newDepartures = digest.departures.filter { servers.merge(it, nowMs) }
            val changedServers = digest.backendServers.filter { servers.merge(it, nowMs) }
            digest.loads.forEach { servers.recordLoad(it, nowMs) }
            val changedHosts = digest.hosts.filter {
                it.host.hostName != self.hostName && hosts.merge(it.host, it.ageMs, nowMs)
            }
            if (self.isStateHost) {
                newDepartures.forEach(changesForSubscribers::add)
                changedServers.forEach(changesForSubscribers::add)
                changedHosts.forEach(changesForSubscribers::add)
            }
            // An entry host uses other hosts only to forward requests, so their changes can wait for the next view.
            val isHostChangeUrgent = self.isStateHost && changedHosts.isNotEmpty()
            newDepartures.isNotEmpty() || changedServers.isNotEmpty() || isHostChangeUrgent
        }
        val passOn: ((CrashEvidence) -> Unit)? =
            if (self.isStateHost) { news -> synchronized(this) { changesForSubscribers.add(news) } } else null
        val hasNewEvidence = crashEvidence.merge(digest.crashEvidence, passOn)
        if (isChanged || hasNewEvidence) scheduleBatch()
    }

    /**
     * Applies renewals and loads, which are published with the next view, and requests what a pulse names and this host
     * does not know.
     */
    private fun onPulse(from: HostIdentity, pulse: SitePulse) {
        val nowMs = clock.nowMs()
        val request = synchronized(this) {
            val isComplete = SitePulses.apply(pulse, hosts, servers, nowMs)
            val requestedAtMs = digestRequestedAtMs[from.hostName] ?: (Long.MIN_VALUE / 2)
            if (isComplete || nowMs - requestedAtMs < times.reportIntervalMs) return
            digestRequestedAtMs[from.hostName] = nowMs
            SiteReport(self, state.index, emptyList(), needsDigest = true)
        }
        network.send(from.hostName, LinkFrame(siteReport = request))
    }

    /** Sends and publishes the collected changes after a short delay, together with those that follow. */
    private fun scheduleBatch() {
        val scope = batchScope ?: return sendBatch()
        if (!isBatchScheduled.compareAndSet(false, true)) return
        scope.launch {
            delay(times.batchDelayMs)
            isBatchScheduled.set(false)
            sendBatch()
            publish()
        }
    }

    private fun sendBatch() {
        if (isStateConfirmed && isStatePushDue.getAndSet(false)) {
            val latest = synchronized(this) { state }
            pushState(latest, subscriptions.behind(latest.index, clock.nowMs()))
        }
        val (forAll, forSubscribers) =
            synchronized(this) { changesForAll.take(state.index) to changesForSubscribers.take(state.index) }
        val isReportDue = isLimitUnsent.getAndSet(false) || crashEvidence.hasUnsent()
        if (!self.isStateHost && isReportDue) sendReports(clock.nowMs())
        forAll?.let { sendDigest(it, digestTargets()) }
        forSubscribers?.let { sendDigest(it, subscriptions.active(clock.nowMs())) }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        val majority = (stateHosts() + self.hostName).size / 2 + 1
        viewTrust.update((connectedStateHosts() - self.hostName).size + 1 >= majority, nowMs)
        synchronized(this) {
            hosts.recordReport(self, nowMs)
            hosts.tick(nowMs)
            servers.tick(nowMs)
        }
        crashEvidence.tick { synchronized(this) { servers.lastSeenMs(it) } }
        links.maintain(otherStateHostRegions, isAnnouncementMissing())
        if (nowMs >= nextReportAtMs) {
            nextReportAtMs = nowMs + times.reportIntervalMs
            if (self.isStateHost) sendPulses(nowMs) else sendReports(nowMs)
        }
        if (nowMs - publishedAtMs >= times.publishIntervalMs) publish()
    }

    private fun isAnnouncementMissing(): Boolean =
        synchronized(this) { servers.hasOverdue(times.renewalOverdueMs, clock.nowMs()) }

    private fun stateHostRegions(): Map<String, String> {
        val known = view.hosts.filter { it.isStateHost }.associate { it.hostName to it.region }
        return (seeds + otherStateHosts()).associateWith { known[it].orEmpty() } + known
    }

    private val otherStateHostRegions: Map<String, String> get() = stateHostRegions() - self.hostName

    private fun sendReports(nowMs: Long) {
        val isAnnouncementMissing = isAnnouncementMissing()
        val targets = links.reportTargets(otherStateHostRegions, isAnnouncementMissing)
        // The state host that heard of a missing announcement may be any of them.
        val primaryName = if (isAnnouncementMissing) "" else targets.firstOrNull().orEmpty()
        val report = synchronized(this) {
            // Another thread may have observed a load after nowMs was read; a negative age is not a valid message.
            val loads = unreportedLoads.values.map { it.copy(ageMs = (nowMs - it.ageMs).coerceAtLeast(0)) }
            unreportedLoads.clear()
            val recent = servers.departures(nowMs).filter { it.ageMs <= times.departureReportMs }
            SiteReport(
                self,
                state.index,
                loads,
                departures = recent,
                primaryName = primaryName,
                crashEvidence = crashEvidence.recent(),
                homeRequests = takeHomeRequests(),
                limits = servers.recentLimits(times.limitReportMs, nowMs),
            )
        }
        network.sendAll(targets, LinkFrame(siteReport = report))
    }

    /** Sends a pulse to other hosts; state hosts also exchange full digests, which repair a missed change. */
    private fun sendPulses(nowMs: Long) {
        val pulse = synchronized(this) { SitePulses.of(state.index, hosts, servers, nowMs, times.loadMaxAgeMs) }
        val subscribers = subscriptions.pulseReceivers(pulseSequence++, self.hostName, nowMs)
        network.sendAll(subscribers + connectedStateHosts() - self.hostName, LinkFrame(sitePulse = pulse))
        if (nowMs < nextMeshDigestAtMs) return
        nextMeshDigestAtMs = nowMs + times.meshDigestIntervalMs
        sendDigest(fullDigest(nowMs, CrashEvidenceReplica.MIN_REPEATED_CRASHES), connectedStateHosts())
    }

    private fun fullDigest(nowMs: Long, minCrashes: Int = 1): SiteDigest = synchronized(this) {
        SiteDigest(
            stateIndex = state.index,
            isFull = true,
            hosts = hosts.hosts(nowMs),
            backendServers = servers.states(nowMs),
            departures = servers.departures(nowMs),
            loads = servers.loads(nowMs, times.loadMaxAgeMs),
            crashEvidence = crashEvidence.all(minCrashes),
        )
    }

    /** Returns the subscribed entry hosts and all connected state hosts. */
    private fun digestTargets(): Set<String> = subscriptions.active(clock.nowMs()) + connectedStateHosts()

    private fun connectedStateHosts(): Set<String> = stateHosts() intersect network.connected().keys

    private fun sendDigest(digest: SiteDigest, targets: Set<String>) {
        network.sendAll(targets - self.hostName, LinkFrame(siteDigest = digest))
    }

    /** Builds a view and passes it to the listeners; the lock ensures that no listener receives an older view last. */
    private fun publish() = synchronized(publishLock) {
        val nowMs = clock.nowMs()
        val next =
            synchronized(this) {
                SiteView(state, hosts.live(nowMs), servers.states(nowMs), nowMs, crashEvidence.heldBack, stateSource)
            }
        currentView.set(next)
        publishedAtMs = nowMs
        listeners.forEach { listener -> failures.run { listener(next) } }
    }

    private companion object {
        /** Covers the time until the next announcement reports the actual state; one comes about every 1,200 ms. */
        const val COLD_AFTER_EVACUATION_MS = 3_000L
    }
}
