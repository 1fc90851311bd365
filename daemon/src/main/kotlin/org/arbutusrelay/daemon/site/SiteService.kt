package org.arbutusrelay.daemon.site

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.site.HomeTraffic
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
    private val hostName = self.hostName
    private val isStateHost = self.isStateHost
    private val publishLock = Any()
    private val records = SiteRecords(self, times)
    private val links =
        StateHostLinks(network, linkPort, StateHostSelector(hostName, self.region), isStateHost)
    private val subscriptions = Subscriptions(times)
    private val listeners = CopyOnWriteArrayList<(SiteView) -> Unit>()

    @Volatile
    private var nextReportAtMs = 0L
    private var nextMeshDigestAtMs = 0L
    private var pulseSequence = 0L
    private val digestRequestedAtMs = HashMap<String, Long>()
    private val isBatchScheduled = AtomicBoolean()
    private val isStatePushDue = AtomicBoolean()
    private val isLimitUnsent = AtomicBoolean()
    private val failures = FailureGuard("a step of the site service")

    /** True once this host may forward its state; see [confirmState]. */
    @Volatile
    public var isStateConfirmed: Boolean = !isStateHost
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

    /** The connected state hosts that an entry host reports to, those of its own region first. */
    public val reportTargets: List<String> get() = links.reportTargets(otherStateHostRegions, isAllWanted = false)

    /** Updates the published state of this host and sends it immediately. */
    public fun updateSelf(change: (HostState) -> HostState) {
        records.updateSelf(change)
        nextReportAtMs = 0
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
        if (!records.install(newer, source, clock.nowMs())) return
        if (isStateHost) {
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
        if (!records.announce(server, clock.nowMs())) return
        scheduleBatch()
        publish()
    }

    /** Processes the notice that a backend server is shutting down. */
    public fun deregister(name: String, incarnation: Long?) {
        records.deregister(name, incarnation, clock.nowMs())
        scheduleBatch()
        publish()
    }

    /** Records the load of a backend server that was reported in a response. */
    public fun observe(load: BackendLoad): Unit = records.observe(load, clock.nowMs())

    /**
     * Records the limit that a response of a backend server named, in thousandths of a request per second.
     *
     * [limitPermille] is null if it named none, and [sentMs] the time at which the request was sent. Other hosts are
     * told at once of a limit that is new, changed or ended.
     */
    public fun recordLimit(name: String, incarnation: Long, limitPermille: Long?, sentMs: Long) {
        if (!records.recordLimit(name, incarnation, limitPermille, sentMs, clock.nowMs())) return
        isLimitUnsent.set(true)
        scheduleBatch()
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.siteReport?.let { onReport(from, it) }
        frame.siteDigest?.let(::onDigest)
        frame.sitePulse?.let { onPulse(from, it) }
        frame.siteState?.let { if (!isStateHost) install(it, from.hostName) }
    }

    private fun onReport(from: HostIdentity, report: SiteReport) {
        val nowMs = clock.nowMs()
        val needsEveryPulse = report.primaryName.isEmpty() || report.primaryName == hostName
        val isNewSubscriber = subscriptions.record(from.hostName, from.epoch, needsEveryPulse, nowMs)
        homeTraffic.record(report.homeRequests, nowMs)
        val isChanged = records.apply(report, nowMs)
        val hasNewEvidence = crashEvidence.merge(report.crashEvidence, records::addForAll)
        if (isChanged || hasNewEvidence) scheduleBatch()
        if (isNewSubscriber || report.needsDigest) sendDigest(fullDigest(nowMs), setOf(from.hostName))
        val latest = records.state
        val isBehind = report.stateIndex < latest.index && subscriptions.isPushDue(from.hostName, latest.index, nowMs)
        if (isBehind && isStateConfirmed) pushState(latest, setOf(from.hostName))
    }

    override fun onLinkUp(host: HostIdentity) {
        // A newly started host needs the state of the site before the next periodic message is due.
        val nowMs = clock.nowMs()
        when {
            !isStateHost -> {
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
        val isChanged = records.apply(digest, clock.nowMs())
        val passOn: ((CrashEvidence) -> Unit)? = if (isStateHost) records::addForSubscribers else null
        val hasNewEvidence = crashEvidence.merge(digest.crashEvidence, passOn)
        if (isChanged || hasNewEvidence) scheduleBatch()
    }

    /**
     * Applies renewals and loads, which are published with the next view, and requests what a pulse names and this host
     * does not know.
     */
    private fun onPulse(from: HostIdentity, pulse: SitePulse) {
        val nowMs = clock.nowMs()
        if (records.apply(pulse, nowMs) || !mayRequestDigest(from.hostName, nowMs)) return
        network.send(from.hostName, LinkFrame(siteReport = records.digestRequest()))
    }

    /** Returns true, and records the request, if [name] was not asked for a digest recently. */
    private fun mayRequestDigest(name: String, nowMs: Long): Boolean = synchronized(digestRequestedAtMs) {
        val requestedAtMs = digestRequestedAtMs[name] ?: (Long.MIN_VALUE / 2)
        val isDue = nowMs - requestedAtMs >= times.reportIntervalMs
        if (isDue) digestRequestedAtMs[name] = nowMs
        isDue
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
            val latest = records.state
            pushState(latest, subscriptions.behind(latest.index, clock.nowMs()))
        }
        val (forAll, forSubscribers) = records.takeChanges()
        val isReportDue = isLimitUnsent.getAndSet(false) || crashEvidence.hasUnsent()
        if (!isStateHost && isReportDue) sendReports(clock.nowMs())
        forAll?.let { sendDigest(it, digestTargets()) }
        forSubscribers?.let { sendDigest(it, subscriptions.active(clock.nowMs())) }
    }

    private fun tick() {
        val nowMs = clock.nowMs()
        val majority = (stateHosts() + hostName).size / 2 + 1
        viewTrust.update((connectedStateHosts() - hostName).size + 1 >= majority, nowMs)
        records.tick(nowMs)
        crashEvidence.tick(records::lastSeenMs)
        links.maintain(otherStateHostRegions, records.isAnnouncementMissing(clock.nowMs()))
        if (nowMs >= nextReportAtMs) {
            nextReportAtMs = nowMs + times.reportIntervalMs
            if (isStateHost) sendPulses(nowMs) else sendReports(nowMs)
        }
        if (nowMs - publishedAtMs >= times.publishIntervalMs) publish()
    }

    private fun stateHostRegions(): Map<String, String> {
        val known = view.hosts.filter { it.isStateHost }.associate { it.hostName to it.region }
        return (seeds + otherStateHosts()).associateWith { known[it].orEmpty() } + known
    }

    private val otherStateHostRegions: Map<String, String> get() = stateHostRegions() - hostName

    private fun sendReports(nowMs: Long) {
        val isAnnouncementMissing = records.isAnnouncementMissing(clock.nowMs())
        val targets = links.reportTargets(otherStateHostRegions, isAnnouncementMissing)
        // The state host that heard of a missing announcement may be any of them.
        val primaryName = if (isAnnouncementMissing) "" else targets.firstOrNull().orEmpty()
        val report = records.takeReport(primaryName, crashEvidence.recent(), takeHomeRequests(), nowMs)
        network.sendAll(targets, LinkFrame(siteReport = report))
    }

    /** Sends a pulse to other hosts; state hosts also exchange full digests, which repair a missed change. */
    private fun sendPulses(nowMs: Long) {
        val pulse = records.pulse(nowMs)
        val subscribers = subscriptions.pulseReceivers(pulseSequence++, hostName, nowMs)
        network.sendAll(subscribers + connectedStateHosts() - hostName, LinkFrame(sitePulse = pulse))
        if (nowMs < nextMeshDigestAtMs) return
        nextMeshDigestAtMs = nowMs + times.meshDigestIntervalMs
        sendDigest(fullDigest(nowMs, CrashEvidenceReplica.MIN_REPEATED_CRASHES), connectedStateHosts())
    }

    private fun fullDigest(nowMs: Long, minCrashes: Int = 1): SiteDigest =
        records.fullDigest(crashEvidence.all(minCrashes), nowMs)

    /** Returns the subscribed entry hosts and all connected state hosts. */
    private fun digestTargets(): Set<String> = subscriptions.active(clock.nowMs()) + connectedStateHosts()

    private fun connectedStateHosts(): Set<String> = stateHosts() intersect network.connected().keys

    private fun sendDigest(digest: SiteDigest, targets: Set<String>) {
        network.sendAll(targets - hostName, LinkFrame(siteDigest = digest))
    }

    /** Builds a view and passes it to the listeners; the lock ensures that no listener receives an older view last. */
    private fun publish() = synchronized(publishLock) {
        val nowMs = clock.nowMs()
        val next = records.view(crashEvidence.heldBack, nowMs)
        currentView.set(next)
        publishedAtMs = nowMs
        listeners.forEach { listener -> failures.run { listener(next) } }
    }
}
