package org.arbutusrelay.relay.exchange

import io.netty.channel.EventLoop
import org.arbutusrelay.core.relay.ResponseBuffers
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.QueuedPlacement
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.site.CrashEvidenceReplica
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.ReportedLoad
import org.arbutusrelay.relay.ingress.StopState
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/** What a host asks the other hosts of its site about single requests. */
internal class SiteServices(
    val tenants: TenantServices = TenantServices(),
    val streamOrigins: StreamOrigins = StreamOrigins.Unversioned,
)

/** State and services shared by all exchanges of a host; confined to the event loop except for [routes]. */
internal class RelayContext(
    val self: HostIdentity,
    val clock: RelayClock,
    val loop: EventLoop,
    val pool: BackendPool,
    val scheduler: DefaultRequestScheduler,
    val dialect: HeaderDialect,
    val forwardTargets: ForwardTargets,
    val eventListener: RequestEventListener,
    /** Tells which requests are accepted while the host stops. */
    val stopState: StopState,
    val crashEvidence: CrashEvidenceReplica,
    private val random: Random,
    /** Receives what backend servers state of themselves. */
    val statements: StatementListener = StatementListener.None,
    private val services: SiteServices = SiteServices(),
) {
    val tenants: TenantServices get() = services.tenants
    val streamOrigins: StreamOrigins get() = services.streamOrigins

    /** Active routes; null until this host has received a route document. */
    val routes = AtomicReference<RouteTable?>(null)

    /** Memory of the responses that are buffered until they are complete. */
    val responseBuffers = ResponseBuffers()

    private val queuedExchanges = HashMap<RequestId, Exchange>()
    private var requestNumber = 0L
    private var isPolling = false
    private var checkedHeldBack = emptySet<String>()
    private var checkedRoutes: RouteTable? = null

    private val startedMs = clock.nowMs()

    /** True once a backend server has reported its current speed, as those do that share their machines. */
    @Volatile
    var servesSharedMachines: Boolean = false
        private set

    /** True until this host has had enough time to discover the other hosts and the backend servers. */
    val isStartingUp: Boolean get() = clock.nowMs() - startedMs < STARTUP_MS

    /** Number of unfinished exchanges. */
    var openExchanges: Int = 0

    /** Returns a uniformly distributed number from 0 until [bound]. */
    fun randomBelow(bound: Int): Int = random.nextInt(bound)

    fun nextId(): RequestId = RequestId(self.hostName, self.epoch, ++requestNumber)

    fun schedule(delayMs: Long, action: () -> Unit) =
        loop.schedule({ action() }, maxOf(0, delayMs), TimeUnit.MILLISECONDS)

    /** Registers [exchange] as waiting for the scheduler to place its request. */
    fun awaitPlacement(id: RequestId, exchange: Exchange) {
        queuedExchanges[id] = exchange
        if (!isPolling) {
            isPolling = true
            schedule(POLL_MS, ::poll)
        }
    }

    /** Cancels a queued request. */
    fun cancelQueued(exchange: Exchange) {
        queuedExchanges.remove(exchange.profile.id)
        scheduler.cancel(exchange.profile)
    }

    /** Completes an attempt and places the queued requests that its capacity allows. */
    fun complete(attempt: PlacedAttempt, result: AttemptResult) {
        checkQueued()
        applyPlacements(scheduler.complete(attempt, result, clock.nowMs()))
    }

    fun reportLoad(attempt: PlacedAttempt, load: ReportedLoad) {
        if (load.workPercent != null) servesSharedMachines = true
        scheduler.recordLoad(attempt.backendServer, load.running, load.queued, clock.nowMs(), load.workPercent)
        statements.onLoad(attempt, load)
    }

    /** Sends nothing to the backend server of [attempt] for [pauseMs] milliseconds, as it has asked. */
    fun pause(attempt: PlacedAttempt, pauseMs: Long): Unit =
        scheduler.recordPause(attempt, pauseMs, random.nextDouble(), clock.nowMs())

    private fun poll() {
        try {
            checkQueued()
            applyPlacements(scheduler.poll(clock.nowMs()))
        } finally {
            // One request that cannot be placed must not keep the others queued.
            isPolling = queuedExchanges.isNotEmpty()
            if (isPolling) schedule(POLL_MS, ::poll)
        }
    }

    /** Applies to the queued requests what has changed since they were queued; must precede their placement. */
    private fun checkQueued() {
        refuseHeldBack()
        val current = routes.get()
        if (current === checkedRoutes) return
        checkedRoutes = current
        // One that is placed may serve the queue, so all that must move have to be out of it.
        val moved = queuedExchanges.values.filter { it.mustMove() }
        moved.forEach(::cancelQueued)
        moved.forEach { it.submit() }
    }

    private fun refuseHeldBack() {
        val heldBack = crashEvidence.heldBack
        if (heldBack === checkedHeldBack) return
        checkedHeldBack = heldBack
        queuedExchanges.values.toList().forEach { it.refuseIfHeldBack() }
    }

    private fun applyPlacements(placements: List<QueuedPlacement>) {
        for (queued in placements) queuedExchanges.remove(queued.profile.id)?.onPlacement(queued.placement)
    }

    private companion object {
        /** Interval at which queued requests are checked when no attempt completes. */
        const val POLL_MS = 20L

        /** Covers two announcement periods of backend servers and the start of a state host. */
        const val STARTUP_MS = 4_000L
    }
}
