package org.arbutusrelay.relay.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.arbutusrelay.core.consensus.LeadershipEnd
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.daemon.ProcessFailure
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.consensus.ReplicaGroup
import org.arbutusrelay.daemon.consensus.ReplicaGroupOptions
import org.arbutusrelay.daemon.http.HttpServer
import org.arbutusrelay.daemon.http.RouteGroup
import org.arbutusrelay.daemon.observe.EventLog
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.QuotaService
import org.arbutusrelay.daemon.site.SiteControl
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.daemon.site.StreamOriginService
import org.arbutusrelay.daemon.storage.FileConsensusStorage
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.SiteState
import org.arbutusrelay.schema.settings.SiteSettings
import java.io.IOException
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.asKotlinRandom

/**
 * A state host of a site: stores the replicated log, accepts operator commands and announcements of backend servers,
 * and lists the entry hosts for callers.
 *
 * [controlRoutes] and [directoryRoutes] create the HTTP interface of the deployment.
 */
public class StateNode(
    private val settings: SiteSettings,
    parser: RoutePlanParser,
    controlRoutes: (StateNode) -> List<RouteGroup>,
    directoryRoutes: (StateNode) -> List<RouteGroup>,
    processFailure: ProcessFailure = ProcessFailure(),
) : SiteNode {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clock = RelayClock()
    private val metrics = RelayMetrics()
    private val eventLog = EventLog(clock::nowMs, counters = metrics)
    private val changes = SiteChangeLog(eventLog)
    private val siteLinks = SiteLinks(settings, scope)
    private val stateMachine: SiteStateMachine = SiteStateMachine { site.install(it) }
    private var leader: String? = null
    private val group = ReplicaGroup(
        name = "site",
        storage = FileConsensusStorage(Path.of(requireNotNull(settings.dataFolder)).resolve("site")),
        stateMachine = stateMachine,
        network = siteLinks.network,
        stateHosts = { site.stateHosts() },
        random = SecureRandom().asKotlinRandom(),
        foundingVoters = SiteLinks.seedNames(settings).takeIf { settings.isFounding },
        options = REPLICA_GROUP_OPTIONS,
        onFailure = { processFailure.onPartEnded("the replica of the site", it) },
        // Reads go through the log instead of the lease, so the lease can be as short as the links allow.
        configure = {
            it.copy(
                heartbeatMs = 120,
                leaseMs = 400,
                electionTimeoutMinMs = 600,
                electionTimeoutMaxMs = 1_200,
                recoveryQuietMs = 5_000,
            )
        },
    )

    /** Membership and backend servers of the site. */
    public val site: SiteService = siteLinks.siteService(clock) { group.voterHosts }

    private val documentProof = SiteDocumentProof.ofStateHost(settings, siteLinks, site, group, clock, eventLog)

    /** Executes operator commands. */
    public val control: SiteControl = SiteControl(group, settings.bindAddress, parser, clock)

    /** Answers callers that ask which entry host to use. */
    public val directory: HostLookup = HostLookup(
        { site.view },
        { site.isStateConfirmed && site.isViewWhole },
        parser,
        metrics.directory(settings.availabilityZones.mapTo(sortedSetOf()) { it.region }),
        eventLog,
        site.homeTraffic,
        clock::nowMs,
    )

    private val quotas = QuotaService(
        siteLinks.network,
        parser,
        metrics.quotas,
        clock::nowMs,
        { stateMachine.current.document },
        { group.voterHosts },
        { documentProof?.isCurrent(clock.nowMs()) ?: site.isStateConfirmed },
    )

    private val streamOrigins = StreamOriginService(
        siteLinks.network,
        clock::nowMs,
        { clock.instant().toEpochMilli() },
        { group.voterHosts + site.view.hosts.filter { it.isStateHost }.map { it.hostName } },
    )

    private val httpServers = listOfNotNull(
        settings.controlAddress?.let { httpServer(it, controlRoutes(this)) },
        settings.directoryAddress?.let { httpServer(it, directoryRoutes(this)) },
        httpServer("${settings.bindAddress}:${settings.metricsPort}", listOf(MetricsRoutes(metrics))),
    )

    override suspend fun start() {
        siteLinks.listen()
        changes.attach(site, siteLinks.network)
        site.addListener { logLeader() }
        site.addListener(streamOrigins::onView)
        siteLinks.network.addReceiver(streamOrigins)
        group.addListener(::confirmState)
        group.addLeadershipListener(::logLeadershipEnd)
        group.start().onLeft { throw IOException("${settings.dataFolder}: $it") }
        site.start(scope)
        documentProof?.start(scope, metrics)
        quotas.start(scope)
        httpServers.forEach { it.start() }
        metrics.gauge("arbutus.site.term") { group.term }
        metrics.gauge("arbutus.site.voters") { group.voters.size }
        metrics.gauge("arbutus.site.storage.failing") { if (group.isStorageFailing) 1 else 0 }
        metrics.gauge("arbutus.site.index") { stateMachine.current.index }
        metrics.gauge("arbutus.site.confirmed") { if (site.isStateConfirmed) 1 else 0 }
        metrics.gauge("arbutus.document.number") { stateMachine.current.document?.number ?: -1 }
        metrics.gauge("arbutus.site.backend.servers") { site.view.backendServers.size }
        metrics.gauge("arbutus.stream.origins") { streamOrigins.streams }
        metrics.gauge("arbutus.site.entry.hosts") { site.view.entryHosts.size }
        val detail = if (settings.isFounding) "bootstraps the group unless its disk holds a replica" else null
        eventLog.write(siteLinks.eventLine(Event.STARTED).copy(address = settings.controlAddress, detail = detail))
    }

    /** Returns true if the state of this host is proven to be recent, or if no proof is required. */
    public fun isCurrent(nowMs: Long): Boolean = documentProof?.isCurrent(nowMs) ?: true

    override fun reload(settings: SiteSettings): Unit = site.replaceSeeds(SiteLinks.seedNames(settings))

    override suspend fun stop() {
        val startMs = clock.nowMs()
        eventLog.write(siteLinks.eventLine(Event.STOPPING))
        site.updateSelf { it.copy(isLeaving = true) }
        group.stop()
        httpServers.forEach { it.stop() }
        scope.cancel()
        siteLinks.network.close()
        eventLog.write(siteLinks.eventLine(Event.STOPPED).copy(durationMs = clock.nowMs() - startMs))
    }

    private fun confirmState(index: Long, state: SiteState) {
        if (!site.confirmState()) return
        eventLog.write(
            EventLine(
                Event.STATE_CHANGED,
                stateIndex = index,
                documentNumber = state.document?.number,
                term = group.term,
                durationMs = clock.nowMs(),
                detail = "confirmed, and forwarded from now on",
            ),
        )
    }

    private fun logLeader() {
        val currentLeader = group.leaderName
        if (currentLeader == leader) return
        leader = currentLeader
        eventLog.write(EventLine(Event.LEADER_CHANGED, host = currentLeader, term = group.term))
    }

    private fun logLeadershipEnd(end: LeadershipEnd) =
        eventLog.write(EventLine(Event.LEADER_CHANGED, term = end.term, detail = "stopped leading: ${end.cause.id}"))

    private fun httpServer(address: String, groups: List<RouteGroup>) =
        HttpServer(
            settings.bindAddress,
            address.substringAfterLast(':').toInt(),
            HTTP_IDLE_TIMEOUT_MS,
            groups,
            HTTP_THREADS,
        )

    private companion object {
        const val HTTP_IDLE_TIMEOUT_MS = 60_000L
        const val HTTP_THREADS = 24
        val REPLICA_GROUP_OPTIONS = ReplicaGroupOptions(
            // Each log entry may contain a whole document, whereas a snapshot contains only one.
            snapshotEntries = 100,
            replaceAfterMs = 1_500,
            transferWaitMs = 1_500,
            unavailableKind = ErrorKind.MANIFEST_GROUP_UNAVAILABLE,
            unknownKind = ErrorKind.MANIFEST_OUTCOME_UNKNOWN,
        )
    }
}
