package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.site.BackendServerRegistry
import org.arbutusrelay.core.site.HostRegistry
import org.arbutusrelay.core.site.PendingChanges
import org.arbutusrelay.core.site.SitePulses
import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.core.suspect.CrashId
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.HomeRequests
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteDigest
import org.arbutusrelay.schema.message.SiteHost
import org.arbutusrelay.schema.message.SitePulse
import org.arbutusrelay.schema.message.SiteReport
import org.arbutusrelay.schema.message.SiteState

/**
 * Holds what a host knows of its site, and the changes of it that other hosts have to hear of.
 *
 * Each function is one step under a lock; messages are built and applied here and sent by [SiteService]. Times are
 * monotonic, in milliseconds. Thread-safe.
 */
internal class SiteRecords(private var self: HostState, private val times: SiteTimes) {
    private val hostName = self.hostName
    private val isStateHost = self.isStateHost
    private val hosts = HostRegistry()
    private val servers = BackendServerRegistry(times.backendLeaseMs)
    private val unreportedLoads = LinkedHashMap<String, BackendLoad>()
    private val changesForAll = PendingChanges()
    private val changesForSubscribers = PendingChanges()
    private var stateSource = ""

    /** Document and evacuations in force. */
    @get:Synchronized
    var state: SiteState = SiteStateMachine.EMPTY
        private set

    /** Changes the published state of this host. */
    @Synchronized
    fun updateSelf(change: (HostState) -> HostState) {
        self = change(self).copy(version = self.version + 1)
    }

    /** Puts [newer] from the state host [source] in force; returns false if it is not newer. */
    @Synchronized
    fun install(newer: SiteState, source: String, nowMs: Long): Boolean {
        if (newer.index <= state.index) return false
        val reopenedZones = state.evacuatedZones - newer.evacuatedZones.toSet()
        // Backend servers may have become cold while their zone received no requests.
        reopenedZones.forEach { servers.markCold(it, COLD_AFTER_EVACUATION_MS, nowMs) }
        state = newer
        stateSource = source
        return true
    }

    /** Processes an announcement of a backend server; returns false if it changes nothing. */
    @Synchronized
    fun announce(server: BackendServerState, nowMs: Long): Boolean {
        if (!servers.announce(server, nowMs)) return false
        servers.state(server.name, nowMs)?.let { changesForAll.add(it) }
        return true
    }

    /** Processes the notice that a backend server is shutting down. */
    @Synchronized
    fun deregister(name: String, incarnation: Long?, nowMs: Long) {
        changesForAll.add(servers.recordDeparture(name, incarnation, nowMs))
    }

    /** Records the load of a backend server that was reported in a response. */
    @Synchronized
    fun observe(load: BackendLoad, nowMs: Long) {
        servers.recordLoad(load, nowMs)
        unreportedLoads[load.name] = load.copy(ageMs = nowMs)
    }

    /** Records the limit that a response named; returns true if other hosts have to hear of it at once. */
    @Synchronized
    fun recordLimit(name: String, incarnation: Long, limitPermille: Long?, sentMs: Long, nowMs: Long): Boolean =
        servers.recordLimit(name, incarnation, limitPermille, sentMs, nowMs)

    /** Adds crash evidence to the changes for all other hosts. */
    @Synchronized
    fun addForAll(evidence: CrashEvidence): Unit = changesForAll.add(evidence)

    /** Adds crash evidence to the changes for the entry hosts that report to this host. */
    @Synchronized
    fun addForSubscribers(evidence: CrashEvidence): Unit = changesForSubscribers.add(evidence)

    /** Applies the report of an entry host; returns true if other hosts have to hear of it. */
    @Synchronized
    fun apply(report: SiteReport, nowMs: Long): Boolean {
        report.loads.forEach { servers.recordLoad(it, nowMs) }
        val newDepartures = report.departures.filter { servers.merge(it, nowMs) }
        newDepartures.forEach(changesForAll::add)
        val limited = report.limits.filter { servers.merge(it, nowMs) }.mapNotNull { servers.state(it.name, nowMs) }
        limited.forEach(changesForAll::add)
        val isNew = hosts.recordReport(report.host, nowMs)
        if (isNew) changesForAll.add(SiteHost(report.host, 0))
        return isNew || newDepartures.isNotEmpty() || limited.isNotEmpty()
    }

    /** Applies a digest; returns true if it has changes that must not wait for the next view. */
    @Synchronized
    fun apply(digest: SiteDigest, nowMs: Long): Boolean {
        val newDepartures = digest.departures.filter { servers.merge(it, nowMs) }
        val changedServers = digest.backendServers.filter { servers.merge(it, nowMs) }
        digest.loads.forEach { servers.recordLoad(it, nowMs) }
        val changedHosts = digest.hosts.filter {
            it.host.hostName != hostName && hosts.merge(it.host, it.ageMs, nowMs)
        }
        if (isStateHost) {
            newDepartures.forEach(changesForSubscribers::add)
            changedServers.forEach(changesForSubscribers::add)
            changedHosts.forEach(changesForSubscribers::add)
        }
        // An entry host uses other hosts only to forward requests, so their changes can wait for the next view.
        val isHostChangeUrgent = isStateHost && changedHosts.isNotEmpty()
        return newDepartures.isNotEmpty() || changedServers.isNotEmpty() || isHostChangeUrgent
    }

    /** Applies renewals and loads; returns false if [pulse] names a host or a backend server that is not known here. */
    @Synchronized
    fun apply(pulse: SitePulse, nowMs: Long): Boolean = SitePulses.apply(pulse, hosts, servers, nowMs)

    /** Renews this host and forgets the hosts and backend servers that were not heard of for long. */
    @Synchronized
    fun tick(nowMs: Long) {
        hosts.recordReport(self, nowMs)
        hosts.tick(nowMs)
        servers.tick(nowMs)
    }

    /** Returns when the backend servers of [crashes] were last heard of; see [BackendServerRegistry.lastSeenMs]. */
    @Synchronized
    fun lastSeenMs(crashes: Set<CrashId>): Map<CrashId, Long> = servers.lastSeenMs(crashes)

    /** Returns true if the announcement of a backend server is overdue. */
    @Synchronized
    fun isAnnouncementMissing(nowMs: Long): Boolean = servers.hasOverdue(times.renewalOverdueMs, nowMs)

    /** Returns the collected changes, for all other hosts and for subscribed entry hosts; null if there are none. */
    @Synchronized
    fun takeChanges(): Pair<SiteDigest?, SiteDigest?> =
        changesForAll.take(state.index) to changesForSubscribers.take(state.index)

    /** Returns a report that asks a state host for a digest. */
    @Synchronized
    fun digestRequest(): SiteReport = SiteReport(self, state.index, emptyList(), needsDigest = true)

    /** Returns the report of this host and forgets the loads in it. */
    @Synchronized
    fun takeReport(
        primaryName: String,
        evidence: CrashEvidence?,
        homeRequests: List<HomeRequests>,
        nowMs: Long,
    ): SiteReport {
        // Another thread may have observed a load after nowMs was read; a negative age is not a valid message.
        val loads = unreportedLoads.values.map { it.copy(ageMs = (nowMs - it.ageMs).coerceAtLeast(0)) }
        unreportedLoads.clear()
        return SiteReport(
            self,
            state.index,
            loads,
            departures = servers.departures(nowMs).filter { it.ageMs <= times.departureReportMs },
            primaryName = primaryName,
            crashEvidence = evidence,
            homeRequests = homeRequests,
            limits = servers.recentLimits(times.limitReportMs, nowMs),
        )
    }

    /** Returns the pulse of this host. */
    @Synchronized
    fun pulse(nowMs: Long): SitePulse = SitePulses.of(state.index, hosts, servers, nowMs, times.loadMaxAgeMs)

    /** Returns a digest of everything that is known here. */
    @Synchronized
    fun fullDigest(evidence: CrashEvidence?, nowMs: Long): SiteDigest = SiteDigest(
        stateIndex = state.index,
        isFull = true,
        hosts = hosts.hosts(nowMs),
        backendServers = servers.states(nowMs),
        departures = servers.departures(nowMs),
        loads = servers.loads(nowMs, times.loadMaxAgeMs),
        crashEvidence = evidence,
    )

    /** Returns the view of the site at [nowMs]. */
    @Synchronized
    fun view(heldBack: Set<String>, nowMs: Long): SiteView =
        SiteView(state, hosts.live(nowMs), servers.states(nowMs), nowMs, heldBack, stateSource)

    private companion object {
        /** Covers the time until the next announcement reports the actual state; one comes about every 1,200 ms. */
        const val COLD_AFTER_EVACUATION_MS = 3_000L
    }
}
