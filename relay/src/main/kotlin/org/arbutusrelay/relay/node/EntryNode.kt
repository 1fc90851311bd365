package org.arbutusrelay.relay.node

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.FirstByteChoice
import org.arbutusrelay.core.routing.FirstByteRegionChoice
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.SchedulerSettings
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.observe.EventLog
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.ReportedLoad
import org.arbutusrelay.relay.exchange.Exchange
import org.arbutusrelay.relay.exchange.ForwardTargets
import org.arbutusrelay.relay.exchange.ProfileBuilder
import org.arbutusrelay.relay.exchange.RelayCore
import org.arbutusrelay.relay.ingress.IngressExchange
import org.arbutusrelay.relay.ingress.IngressHandler
import org.arbutusrelay.relay.ingress.IngressOptions
import org.arbutusrelay.relay.ingress.IngressRequest
import org.arbutusrelay.relay.ingress.IngressServer
import org.arbutusrelay.relay.ingress.IngressService
import org.arbutusrelay.relay.ingress.ResponseWriter
import org.arbutusrelay.relay.ingress.StatusReply
import org.arbutusrelay.relay.ingress.StatusServer
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.settings.SiteSettings
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/**
 * An entry host of a site: takes requests of callers and forwards them by the routes in force.
 *
 * The readiness check of the deployment asks for [readyPath].
 */
public class EntryNode(
    private val settings: SiteSettings,
    private val dialect: HeaderDialect,
    private val parser: RoutePlanParser,
    private val readyPath: String,
) : SiteNode {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val clock = RelayClock()
    private val metrics = RelayMetrics()
    private val log = EventLog(clock::nowMs, counters = metrics)
    private val changes = SiteChangeLog(log)
    private val links = SiteLinks(settings, scope)
    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val callerAddress = requireNotNull(settings.callerAddress) { "an entry host needs callerAddress" }
    private val site = links.siteService(clock)
    private val routing = SiteRouting(links.identity, settings.bounds)
    private val pool = BackendPool(loop, clock::nowMs)
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        invariants = Invariants(isFatal = false, ::onViolation),
        settings = SchedulerSettings(
            retryPermille = (settings.bounds.retryShare * RETRY_PART * PERMILLE).toLong(),
            historyBlocks = HISTORY_BLOCKS,
            rampMs = RAMP_MS,
            regionFailureThreshold = REGION_FAILURES,
            regionOpenMs = REGION_OPEN_MS,
        ),
        serverChoice = FirstByteChoice(),
        regionChoice = FirstByteRegionChoice(),
    )
    private val forwardTargets = ForwardTargets(settings.linkPort + 1)
    private val core = RelayCore(
        links.identity, clock, loop, pool, scheduler, dialect, forwardTargets,
        CountedEvents(metrics, LoggedEvents(log, clock::nowMs)), Random(links.identity.epoch), ::observe,
    )
    private val profiles = ProfileBuilder(settings.region) { otherRegions }
    private val options =
        IngressOptions(clock::nowMs) { core.routes.get()?.plan?.limits?.maxBodyBytes ?: MAX_BODY_BYTES }
    private val callerServer = IngressServer(group, options, Ingress(), isForwarded = false)
    private val forwardServer = IngressServer(group, options, Ingress(), isForwarded = true)
    private val connections = HashMap<IngressHandler, Channel>()
    private val parsed = AtomicReference<RoutePlan?>(null)
    private var otherRegions = emptyList<String>()
    private val statusServers = listOfNotNull(
        settings.readyAddress?.let { StatusServer(group, it, mapOf(readyPath to ::ready)) },
        StatusServer(group, "${settings.bindAddress}:${settings.metricsPort}", mapOf("/metrics" to ::metricsText)),
    )

    @Volatile
    private var isLeaving = false

    /** True while this host has routes and takes requests. */
    public fun isReady(): Boolean = !isLeaving && core.routes.get() != null

    override suspend fun start() {
        links.listen()
        changes.follow(site, links.network)
        site.addListener(::onView)
        callerServer.start(callerAddress)
        forwardServer.start("${settings.bindAddress}:${settings.linkPort + 1}")
        statusServers.forEach { it.start() }
        site.start(scope)
        core.schedule(SWEEP_MS, ::sweep)
        metrics.gauge("arbutus.requests.open") { core.openExchanges }
        metrics.gauge("arbutus.requests.queued") { scheduler.queuedRequests() }
        metrics.gauge("arbutus.document.number") { core.routes.get()?.plan?.number ?: -1 }
        log.write(links.line(Event.STARTED).copy(address = callerAddress))
    }

    override fun reload(settings: SiteSettings): Unit = site.replaceSeeds(SiteLinks.seedNames(settings))

    override suspend fun stop() {
        isLeaving = true
        val startMs = clock.nowMs()
        log.write(links.line(Event.STOPPING).copy(openRequests = core.openExchanges.toLong()))
        site.updateSelf { it.copy(isLeaving = true) }
        val graceMs = (settings.bounds.graceSeconds * MS_PER_SECOND).toLong()
        // Callers keep an old list of hosts for a while and would meet a closed port.
        delay(minOf(graceMs / 2, LIST_LIFETIME_MS))
        loop.execute { connections.forEach { (handler, channel) -> if (handler.isIdle()) channel.close() } }
        while (core.openExchanges > 0 && clock.nowMs() - startMs < graceMs - EXIT_RESERVE_MS) delay(STOP_POLL_MS)
        val durationMs = clock.nowMs() - startMs
        log.write(
            links.line(Event.STOPPED).copy(openRequests = core.openExchanges.toLong(), durationMs = durationMs),
        )
        close()
    }

    /** Ends at once. */
    internal fun close() {
        callerServer.stop()
        forwardServer.stop()
        statusServers.forEach { it.stop() }
        scope.cancel()
        links.network.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun ready() = StatusReply(if (isReady()) OK else UNAVAILABLE)

    private fun metricsText() = StatusReply(OK, metrics.scrape(), RelayMetrics.CONTENT_TYPE)

    private fun onViolation(guarantee: Guarantee, detail: String) {
        metrics.countViolation(guarantee)
        log.write(EventLine(Event.GUARANTEE_VIOLATED, kind = guarantee.id, detail = detail))
    }

    private fun observe(placed: PlacedAttempt, load: ReportedLoad) =
        site.observe(BackendLoad(placed.backendServer, placed.incarnation, load.running, load.queued, 0))

    /** Puts a newer view in force; runs on the thread that built it. */
    private fun onView(view: SiteView) {
        val plan = planOf(view) ?: return
        val table = routing.table(view, plan)
        forwardTargets.update(view.entryHosts)
        loop.execute {
            if (core.routes.get()?.plan !== plan && (core.routes.get()?.plan?.number ?: -1) <= plan.number) {
                val isFirst = core.routes.getAndSet(RouteTable(plan)) == null
                if (isFirst) advertise()
                log.write(
                    EventLine(
                        Event.DOCUMENT_IN_FORCE,
                        documentNumber = plan.number,
                        stateIndex = view.state.index,
                    ),
                )
            }
            scheduler.updateTable(table)
            otherRegions = table.otherRegions.values
                .sortedBy { region ->
                    region.services.values.sumOf { it.running + it.queued }.toDouble() /
                        region.services.values.sumOf { it.capacity }
                }
                .map { it.name }
        }
    }

    /** Lets callers be sent here; not before, because a host without routes can only refuse. */
    private fun advertise() {
        scope.launch { site.updateSelf { it.copy(callerAddress = callerAddress) } }
    }

    private fun planOf(view: SiteView): RoutePlan? {
        val document = view.state.document ?: return null
        parsed.get()?.takeIf { it.number == document.number }?.let { return it }
        return parser.parse(document.content).fold(
            { error ->
                val number = document.number
                log.write(EventLine(Event.DOCUMENT_REFUSED, documentNumber = number, detail = error.detail))
                parsed.get()
            },
            { plan -> plan.also { parsed.set(it) } },
        )
    }

    /** Closes connections that were idle for longer than callers use them. */
    private fun sweep() {
        val idleMs = (core.routes.get()?.plan?.limits?.idleTimeoutMs ?: HTTP_IDLE_MS) + IDLE_MARGIN_MS
        connections.filter { (handler, _) -> handler.isIdleSince(idleMs) }.values.forEach { it.close() }
        core.schedule(SWEEP_MS, ::sweep)
    }

    private inner class Ingress : IngressService {
        override val isLeaving: Boolean get() = this@EntryNode.isLeaving

        override fun open(request: IngressRequest, writer: ResponseWriter): IngressExchange =
            Exchange(core, profiles, request, writer)

        override fun onOpen(handler: IngressHandler, channel: Channel) {
            connections[handler] = channel
        }

        override fun onClose(handler: IngressHandler) {
            connections.remove(handler)
        }
    }

    private companion object {
        const val PERMILLE = 1_000
        const val MS_PER_SECOND = 1_000

        /** Part of the allowed retries that is used: an attempt that another host forwards counts there as well. */
        const val RETRY_PART = 0.6
        const val HISTORY_BLOCKS = 8_192

        /** Backend servers say themselves how long they are cold, so that no long ramp is needed. */
        const val RAMP_MS = 500L

        /** One server that crashes there breaks many requests at once, which says little about the others. */
        const val REGION_FAILURES = 20
        const val REGION_OPEN_MS = 500L
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
        const val HTTP_IDLE_MS = 30_000L
        const val OK = 200
        const val UNAVAILABLE = 503
        const val SWEEP_MS = 1_000L
        const val IDLE_MARGIN_MS = 1_000L
        const val LIST_LIFETIME_MS = 3_000L
        const val STOP_POLL_MS = 20L

        /** The process must be gone before the kill. */
        const val EXIT_RESERVE_MS = 700L
    }
}
