package org.arbutusrelay.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.core.routing.SchedulerView
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.http.BackendServerRoutes
import org.arbutusrelay.daemon.http.CallerRoutes
import org.arbutusrelay.daemon.http.HealthRoutes
import org.arbutusrelay.daemon.http.HttpServer
import org.arbutusrelay.daemon.http.OperatorRoutes
import org.arbutusrelay.daemon.ledger.LedgerClient
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.manifest.ManifestService
import org.arbutusrelay.daemon.membership.MembershipListener
import org.arbutusrelay.daemon.membership.MembershipService
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.daemon.request.AtMostOnceExecutor
import org.arbutusrelay.daemon.request.BackendAttemptFactory
import org.arbutusrelay.daemon.request.DetachedRuns
import org.arbutusrelay.daemon.request.ForwardAttemptFactory
import org.arbutusrelay.daemon.request.ForwardResponseDispatcher
import org.arbutusrelay.daemon.request.ForwardServer
import org.arbutusrelay.daemon.request.InFlightRequests
import org.arbutusrelay.daemon.request.ManifestRevalidator
import org.arbutusrelay.daemon.request.PlacementQueue
import org.arbutusrelay.daemon.request.RequestAttempts
import org.arbutusrelay.daemon.request.RequestPipeline
import org.arbutusrelay.daemon.request.RequestResolver
import org.arbutusrelay.daemon.request.SuspectTracker
import org.arbutusrelay.schema.settings.DaemonSettings
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Components of a daemon other than its request pipeline. */
public class DaemonComponents(
    public val manifests: ManifestService,
    public val membership: MembershipService,
    public val ledger: LedgerClient,
    public val network: LinkNetwork,
    public val scheduler: RequestScheduler,
    public val suspects: SuspectTracker,
    /** Called during a graceful shutdown once no request is in flight; transfers leadership and syncs files. */
    public val onDrained: suspend () -> Unit = {},
    public val schedulerView: SchedulerView = SchedulerView { _, _ -> null },
)

/** Runs the request path of one host: HTTP server, request pipeline and the server for forwarded requests. */
public class Daemon(
    private val settings: DaemonSettings,
    private val parts: DaemonComponents,
    private val invariants: Invariants,
    private val clock: RelayClock = RelayClock(),
    public val metrics: RelayMetrics = RelayMetrics(),
    private val tracing: Tracing = Tracing(settings.hostName, settings.traces),
) {
    private val logger = LogManager.getLogger(Daemon::class.java)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    private val executor = createRequestExecutor()
    private val dispatcher = executor.asCoroutineDispatcher()
    private val inFlight = InFlightRequests(settings.maxInFlight, clock)
    private val client = BackendClient(metrics::countResponseDrop)
    private val queue = PlacementQueue(parts.scheduler, clock)
    private val responses = ForwardResponseDispatcher(metrics::countResponseDrop)
    private val pipeline = createPipeline()
    private val resolver = RequestResolver(clock, settings.region)
    private val server = createHttpServer()

    @Volatile
    private var isStarted = false

    /** Port that serves callers, operators and backend servers. */
    public val callerPort: Int get() = server.port

    /** True when this host serves requests: it has started, has a manifest and has not stopped. */
    public val isReady: Boolean get() = isStarted && parts.manifests.current != null

    /** Opens the port and starts to serve requests; throws [java.io.IOException] when the port cannot be opened. */
    public fun start() {
        server.start()
        parts.network.addReceiver(responses)
        parts.network.addReceiver(
            ForwardServer(parts.network, parts.manifests, resolver, pipeline, inFlight, tracing, clock, scope),
        )
        parts.manifests.addListener { updateTable() }
        parts.membership.addListener(object : MembershipListener {
            override fun onChange() = updateTable()
        })
        metrics.gauge("arbutus.requests.open") { inFlight.count }
        metrics.gauge("arbutus.load.permille") { parts.scheduler.loadPermille() }
        scope.launch { repeatEvery(QUEUE_POLL_INTERVAL_MS, queue::poll) }
        scope.launch { repeatEvery(TABLE_UPDATE_INTERVAL_MS, ::updateTable) }
        updateTable()
        isStarted = true
        logger.info("host {} serves callers on {}:{}", settings.hostName, settings.bindAddress, callerPort)
    }

    /** Shuts down gracefully; returns false when requests were still in flight after the shutdown timeout. */
    public suspend fun stop(): Boolean {
        logger.info("host {} is shutting down", settings.hostName)
        val sequence =
            ShutdownSequence(parts.membership, inFlight, invariants, clock, settings.shutdownTimeoutMs)
        try {
            return sequence.run()
        } finally {
            isStarted = false
            parts.onDrained()
            close()
            logger.info("host {} has shut down", settings.hostName)
        }
    }

    /** Stops within about a second and interrupts requests in flight; used by tests and after a failed start. */
    public fun close() {
        inFlight.stopAccepting()
        runBlocking { inFlight.awaitIdle(CLOSE_TIMEOUT_MS) }
        server.stop()
        scope.cancel()
        executor.shutdown()
        client.close()
        tracing.close()
    }

    private fun createPipeline(): RequestPipeline {
        val backends = BackendAttemptFactory(client, dispatcher, clock, parts.suspects)
        val forwards = ForwardAttemptFactory(parts.network, responses, dispatcher, clock, metrics::countResponseDrop)
        val attempts = RequestAttempts(
            parts.scheduler,
            queue,
            { request, attempt, traceParent ->
                val isLocal = attempt.backendServer.isNotEmpty()
                if (!isLocal) metrics.countForward()
                (if (isLocal) backends else forwards).create(request, attempt, traceParent)
            },
            settings.region,
            clock,
            metrics,
            tracing,
            invariants,
            ManifestRevalidator(parts.manifests),
        )
        val atMostOnceExecutor = AtMostOnceExecutor(parts.ledger, clock, metrics, DetachedRuns(scope, inFlight))
        return RequestPipeline(attempts, atMostOnceExecutor, parts.suspects, clock, metrics)
    }

    private fun createHttpServer(): HttpServer {
        val timeoutMs = settings.slowSenderTimeoutMs
        val callers = CallerRoutes(
            parts.network.self, parts.manifests, parts.membership, resolver, pipeline, inFlight, metrics, tracing,
            scope, dispatcher, clock, timeoutMs,
        )
        val operators =
            OperatorRoutes(
                settings.operatorToken,
                parts.manifests,
                parts.membership,
                scope,
                parts.schedulerView,
                clock,
                timeoutMs,
            )
        val backends =
            BackendServerRoutes(settings.backendServerToken, parts.membership, parts.scheduler, clock, timeoutMs)
        val health = HealthRoutes(settings.operatorToken, metrics) { isReady }
        return HttpServer(
            settings.bindAddress,
            settings.callerPort,
            timeoutMs,
            listOf(callers, operators, backends, health),
        )
    }

    private fun updateTable() = parts.scheduler.updateTable(
        routingTable(parts.network.self, parts.manifests.current, parts.membership, parts.network, clock.nowMs()),
    )

    private suspend fun repeatEvery(periodMs: Long, action: () -> Unit) {
        while (true) {
            action()
            delay(periodMs)
        }
    }

    // Each running attempt occupies a thread; a request has at most two, and the number of requests is bounded.
    private fun createRequestExecutor(): ThreadPoolExecutor {
        val threadNumber = AtomicLong()
        val maxThreads = (settings.maxInFlight * MAX_ATTEMPTS_PER_REQUEST).toInt() + SPARE_THREADS
        return ThreadPoolExecutor(0, maxThreads, THREAD_KEEP_ALIVE_S, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(task, "request-${threadNumber.incrementAndGet()}").apply { isDaemon = true }
        }
    }

    private companion object {
        private const val QUEUE_POLL_INTERVAL_MS = 20L
        private const val CLOSE_TIMEOUT_MS = 500L
        private const val TABLE_UPDATE_INTERVAL_MS = 500L
        private const val MAX_ATTEMPTS_PER_REQUEST = 2
        private const val SPARE_THREADS = 64
        private const val THREAD_KEEP_ALIVE_S = 10L
    }
}
