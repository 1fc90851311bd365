package org.arbutusrelay.relay.node

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.relay.LoopLag
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.FirstByteRegionSelector
import org.arbutusrelay.core.routing.FirstByteServerSelector
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.RefusalCause
import org.arbutusrelay.core.routing.SchedulerSettings
import org.arbutusrelay.core.site.EntryHostDirectory
import org.arbutusrelay.core.site.HostCapacity
import org.arbutusrelay.daemon.ProcessFailure
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.observe.EventLog
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.ReportedLoad
import org.arbutusrelay.relay.exchange.DocumentProof
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.ForwardTargets
import org.arbutusrelay.relay.exchange.ProfileBuilder
import org.arbutusrelay.relay.exchange.RelayContext
import org.arbutusrelay.relay.exchange.SiteServices
import org.arbutusrelay.relay.exchange.StatementListener
import org.arbutusrelay.relay.exchange.TenantServices
import org.arbutusrelay.relay.ingress.BodyAdmission
import org.arbutusrelay.relay.ingress.ConnectionDrain
import org.arbutusrelay.relay.ingress.IngressExchange
import org.arbutusrelay.relay.ingress.IngressHandler
import org.arbutusrelay.relay.ingress.IngressOptions
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.IngressServer
import org.arbutusrelay.relay.ingress.IngressService
import org.arbutusrelay.relay.ingress.OpenConnections
import org.arbutusrelay.relay.ingress.PlannedStop
import org.arbutusrelay.relay.ingress.ResponseWriter
import org.arbutusrelay.relay.ingress.StatusResponse
import org.arbutusrelay.relay.ingress.StatusServer
import org.arbutusrelay.relay.ingress.StopState
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.settings.SiteSettings
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * An entry host of a site: accepts requests from callers and forwards them according to the active routes.
 *
 * The deployment's readiness check requests [readyPath].
 */
public class EntryNode(
    private val settings: SiteSettings,
    private val dialect: HeaderDialect,
    private val parser: RoutePlanParser,
    private val readyPath: String,
    processFailure: ProcessFailure = ProcessFailure(),
) : SiteNode {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clock = RelayClock()
    private val metrics = RelayMetrics()
    private val log = EventLog(clock::nowMs, counters = metrics)
    private val changes = SiteChangeLog(log)
    private val siteLinks = SiteLinks(settings, scope)
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val loopWatch = EventLoopWatch(loop, processFailure)
    private val callerAddress = requireNotNull(settings.callerAddress) { "an entry host requires callerAddress" }
    private val site: SiteService =
        siteLinks.siteService(clock, { context.routes.get()?.homeRequests?.take().orEmpty() })
    private val documentProof = SiteDocumentProof.ofEntryHost(settings, siteLinks, site, clock, log)
    private val routing =
        RoutingTableBuilder(siteLinks.identity, settings.bounds, site::isViewWhole, { context.servesSharedMachines })
    private val pool = BackendPool(loop, clock::nowMs)
    private val serverSelector = FirstByteServerSelector()
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        invariants = Invariants(isFatal = false, ::onViolation),
        settings = SchedulerSettings(
            retryPermille = (settings.bounds.retryShare * RETRY_BUDGET_SHARE * PERMILLE).toLong(),
            prefixIndexBlocks = PREFIX_INDEX_BLOCKS,
            rampMs = RAMP_MS,
            regionFailureThreshold = REGION_FAILURE_THRESHOLD,
            regionOpenMs = REGION_OPEN_MS,
        ),
        serverSelector = serverSelector,
        regionSelector = FirstByteRegionSelector(),
    )
    private val forwardTargets = ForwardTargets(settings.linkPort + 1)
    private val quotas =
        QuotaRequester(siteLinks.network, { site.reportTargets }, Loop(), clock::nowMs, metrics.quotas)
    private val streamOrigins = StreamOriginClient(
        siteLinks.network,
        { site.reportTargets },
        Loop(),
        clock::nowMs,
    )
    private val context: RelayContext = RelayContext(
        siteLinks.identity, clock, loop, pool, scheduler, dialect, forwardTargets,
        RequestMetricsListener(metrics, RequestLogListener(log, clock::nowMs)), StopState(clock::nowMs),
        site.crashEvidence,
        Random(
            siteLinks.identity.epoch,
        ),
        Statements(), SiteServices(TenantServices(documentProof ?: DocumentProof.NOT_REQUIRED, quotas), streamOrigins),
    )
    private val profiles = ProfileBuilder(settings.region) { otherRegions }
    private val loopLag = LoopLag()
    private val bodies = BodyAdmission()
    private val options = IngressOptions(
        clock::nowMs,
        { loopLag.lagMs(clock.nowMs()) },
        bodies,
        ::bodyWaitMs,
        { metrics.countError(ErrorKind.OVERLOADED) },
    ) { context.routes.get()?.plan?.limits?.maxBodyBytes ?: DEFAULT_MAX_BODY_BYTES }
    private val callerServer = IngressServer(group, options, Ingress(), isForwarded = false)
    private val forwardServer = IngressServer(group, options, Ingress(), isForwarded = true)
    private val connections = OpenConnections()
    private val latestPlan = AtomicReference<RoutePlan?>(null)
    private var otherRegions = emptyList<String>()

    /** Time since when the latest document is in force on this host, on the monotonic clock, in milliseconds. */
    @Volatile
    private var inForceSinceMs = 0L
    private val statusServers = listOfNotNull(
        settings.readyAddress?.let { StatusServer(group, it, mapOf(readyPath to ::readiness)) },
        StatusServer(group, "${settings.bindAddress}:${settings.metricsPort}", mapOf("/metrics" to ::metricsResponse)),
    )

    /** True while this host has routes and accepts requests. */
    public fun isReady(): Boolean = !context.stopState.isStopping && context.routes.get() != null

    override suspend fun start() {
        siteLinks.listen()
        changes.attach(site, siteLinks.network)
        site.addListener(streamOrigins::onView)
        site.addListener(::onSiteView)
        callerServer.start(callerAddress)
        forwardServer.start("${settings.bindAddress}:${settings.linkPort + 1}")
        statusServers.forEach { it.start() }
        siteLinks.network.addReceiver(quotas)
        siteLinks.network.addReceiver(streamOrigins)
        site.start(scope)
        documentProof?.start(scope, metrics)
        loopWatch.start()
        context.schedule(IDLE_SWEEP_INTERVAL_MS, ::closeIdleConnections)
        context.schedule(0, ::recordLoopRun)
        metrics.gauge("arbutus.host.capacity.millis") { HostCapacity.ofResources(settings.resources) }
        metrics.gauge("arbutus.requests.open") { context.openExchanges }
        metrics.gauge("arbutus.requests.queued") { scheduler.queuedRequests() }
        metrics.gauge("arbutus.request.bodies.bytes") { bodies.reservedBytes }
        metrics.gauge("arbutus.request.bodies.waiting") { bodies.waitingCount }
        metrics.gauge("arbutus.backend.servers.paused") { scheduler.pausedServers(clock.nowMs()) }
        metrics.gauge("arbutus.backend.servers.limited") { scheduler.limitedServers }
        LongPromptMetrics.register(metrics, serverSelector.longPrompts)
        metrics.gauge("arbutus.backend.memory.reserved.tokens") { scheduler.reservedTokens() }
        RefusalCause.entries.forEach { cause ->
            metrics.gauge("arbutus.refusals.${cause.id}") { scheduler.refusalCount(cause) }
        }
        OriginLookup.entries.forEach { kind ->
            metrics.gauge("arbutus.stream.origin.lookups.${kind.id}") { streamOrigins.count(kind) }
        }
        metrics.gauge("arbutus.suspects.held") { site.crashEvidence.heldBack.size }
        metrics.gauge("arbutus.document.number") { context.routes.get()?.plan?.number ?: -1 }
        metrics.gauge("arbutus.document.age.ms") { if (isReady()) clock.nowMs() - inForceSinceMs else -1 }
        log.write(siteLinks.eventLine(Event.STARTED).copy(address = callerAddress))
    }

    override fun reload(settings: SiteSettings): Unit = site.replaceSeeds(SiteLinks.seedNames(settings))

    override suspend fun stop() {
        val startMs = clock.nowMs()
        log.write(siteLinks.eventLine(Event.STOPPING).copy(openRequests = context.openExchanges.toLong()))
        site.updateSelf { it.copy(isLeaving = true) }
        val graceMs = (settings.bounds.graceSeconds * MS_PER_SECOND).toLong()
        val endMs = startMs + graceMs - EXIT_MARGIN_MS
        val acceptMs = minOf(graceMs / 2, HOST_LIST_LIFETIME_MS)
        scope.launch { withdrawCallerAddress(acceptMs - EntryHostDirectory.LEAVING_LIFETIME_MS) }
        val drain = ConnectionDrain(loop, connections, context.stopState, clock::nowMs)
        PlannedStop(context.stopState, callerServer, drain, clock::nowMs)
            .await(acceptMs, endMs) { context.openExchanges }
        val durationMs = clock.nowMs() - startMs
        log.write(
            siteLinks.eventLine(Event.STOPPED).copy(
                openRequests = context.openExchanges.toLong(),
                durationMs = durationMs,
            ),
        )
        close()
    }

    /** Stops without waiting for open requests. */
    internal fun close() {
        loopWatch.stop()
        callerServer.stop()
        forwardServer.stop()
        statusServers.forEach { it.stop() }
        scope.cancel()
        siteLinks.network.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun readiness() = StatusResponse(if (isReady()) OK_STATUS else UNAVAILABLE_STATUS)

    private fun metricsResponse() = StatusResponse(OK_STATUS, metrics.scrape(), RelayMetrics.CONTENT_TYPE)

    private fun onViolation(guarantee: Guarantee, detail: String) {
        metrics.countViolation(guarantee)
        log.write(EventLine(Event.GUARANTEE_VIOLATED, kind = guarantee.id, detail = detail))
    }

    /** Returns how long a body may wait for memory: a part of the time that its caller has. */
    private fun bodyWaitMs(headers: HttpHeaders): Long {
        val callerMs = dialect.decodeRequest(headers).getOrNull()?.deadlineMs ?: Long.MAX_VALUE
        return minOf(callerMs / BODY_WAIT_DIVISOR, IngressOptions.MAX_BODY_WAIT_MS)
    }

    /** Applies a newer site view; called on the thread that built it. */
    private fun onSiteView(view: SiteView) {
        val plan = parsePlan(view) ?: return
        val table = routing.build(view, plan)
        forwardTargets.update(view.forwardHosts)
        loop.execute {
            if (context.routes.get()?.plan !== plan && (context.routes.get()?.plan?.number ?: -1) <= plan.number) {
                val isFirst = context.routes.getAndSet(RouteTable(plan)) == null
                inForceSinceMs = clock.nowMs()
                if (isFirst && !context.stopState.isStopping) advertiseCallerAddress()
                log.write(
                    EventLine(
                        Event.DOCUMENT_IN_FORCE,
                        documentNumber = plan.number,
                        stateIndex = view.state.index,
                        host = view.stateSource,
                    ),
                )
            }
            documentProof?.onRoutes(context.routes.get()?.plan, view.state)
            scheduler.updateTable(table)
            otherRegions = table.otherRegions.values
                .sortedBy { region ->
                    region.services.values.sumOf { it.running + it.queued }.toDouble() /
                        region.services.values.sumOf { it.capacity }
                }
                .map { it.name }
        }
    }

    /** Publishes the caller address; called once routes exist, because a host without routes rejects requests. */
    private fun advertiseCallerAddress() {
        scope.launch { site.updateSelf { it.copy(callerAddress = callerAddress) } }
    }

    /** Tells the state hosts after [delayMs] that callers of a region without another host can no longer connect. */
    private suspend fun withdrawCallerAddress(delayMs: Long) {
        delay(delayMs)
        site.updateSelf { it.copy(callerAddress = "") }
    }

    private fun parsePlan(view: SiteView): RoutePlan? {
        val document = view.state.document ?: return null
        latestPlan.get()?.takeIf { it.number == document.number }?.let { return it }
        return parser.parse(document.content).fold(
            { error ->
                val number = document.number
                log.write(EventLine(Event.DOCUMENT_REFUSED, documentNumber = number, detail = error.detail))
                latestPlan.get()
            },
            { plan -> plan.also { latestPlan.set(it) } },
        )
    }

    /** Rejects slow requests and closes connections that have been idle for longer than their timeout plus a margin. */
    private fun closeIdleConnections() {
        val limits = context.routes.get()?.plan?.limits
        val idleMs = (limits?.idleTimeoutMs ?: DEFAULT_IDLE_TIMEOUT_MS) + IDLE_MARGIN_MS
        connections.rejectSlow((limits?.headerTimeoutMs ?: DEFAULT_IDLE_TIMEOUT_MS) + IDLE_MARGIN_MS, idleMs)
        connections.closeIdleLongerThan(idleMs)
        context.schedule(IDLE_SWEEP_INTERVAL_MS, ::closeIdleConnections)
    }

    private fun recordLoopRun() {
        loopLag.recordRun(clock.nowMs())
        context.schedule(loopLag.intervalMs, ::recordLoopRun)
    }

    private inner class Statements : StatementListener {
        private val leavingServers = LeavingServers(site::deregister)

        override fun onLoad(attempt: PlacedAttempt, load: ReportedLoad) =
            site.observe(BackendLoad(attempt.backendServer, attempt.incarnation, load.running, load.queued, 0))

        override fun onLeaving(attempt: PlacedAttempt) = leavingServers.record(attempt)

        override fun onLimit(attempt: PlacedAttempt, limitPermille: Long?) =
            site.recordLimit(attempt.backendServer, attempt.incarnation, limitPermille, attempt.placedAtMs)
    }

    private inner class Loop : HostLoop {
        override fun execute(action: () -> Unit) = loop.execute(action)

        override fun schedule(delayMs: Long, action: () -> Unit) {
            loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
        }
    }

    private inner class Ingress : IngressService {
        override val isShuttingDown: Boolean get() = context.stopState.isStopping

        override fun createExchange(request: IngressRequest, writer: ResponseWriter): IngressExchange =
            Exchange(context, profiles, request, writer)

        override fun onConnectionOpened(handler: IngressHandler, channel: Channel) {
            connections.add(handler, channel)
        }

        override fun onConnectionClosed(handler: IngressHandler) {
            connections.remove(handler)
        }
    }

    private companion object {
        const val PERMILLE = 1_000
        const val MS_PER_SECOND = 1_000

        /** Share of the allowed retries that is used, because forwarded attempts also count on the other host. */
        const val RETRY_BUDGET_SHARE = 0.6
        const val PREFIX_INDEX_BLOCKS = 8_192

        /** Short, because backend servers report how long they are cold. */
        const val RAMP_MS = 500L

        /** High, because one crashed server fails many requests at once, which says little about the other servers. */
        const val REGION_FAILURE_THRESHOLD = 20
        const val REGION_OPEN_MS = 500L

        /** Callers give up a host that has not read their request after a third of their time. */
        const val BODY_WAIT_DIVISOR = 4
        const val DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
        const val DEFAULT_IDLE_TIMEOUT_MS = 30_000L
        const val OK_STATUS = 200
        const val UNAVAILABLE_STATUS = 503
        const val IDLE_SWEEP_INTERVAL_MS = 1_000L
        const val IDLE_MARGIN_MS = 1_000L

        /**
         * Time for which callers use host lists that still contain this host. Below the 3 s that they are promised,
         * because a stop begins later than its signal; requests that came up to 10 ms after the 3 s were cut off.
         */
        const val HOST_LIST_LIFETIME_MS = 2_800L

        /** Margin to exit before the process is killed at the end of the grace period. */
        const val EXIT_MARGIN_MS = 700L
    }
}
