package org.arbutusrelay.relay.exchange

import io.netty.channel.EventLoop
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.route.RouteTable
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.QueuedPlacement
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.relay.backend.BackendPool
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.ReportedLoad
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random

/** What all exchanges of a host share; used on the event loop, but for [routes]. */
internal class RelayCore(
    val self: HostIdentity,
    val clock: RelayClock,
    val loop: EventLoop,
    val pool: BackendPool,
    val scheduler: DefaultRequestScheduler,
    val dialect: HeaderDialect,
    val forwardTargets: ForwardTargets,
    val events: RelayEvents,
    private val random: Random,
    private val observeLoad: (PlacedAttempt, ReportedLoad) -> Unit,
) {
    /** Routes in force; null until this host has a document. */
    val routes = AtomicReference<RouteTable?>(null)

    private val waiting = HashMap<RequestId, Exchange>()
    private var requestNumber = 0L
    private var isPolling = false

    private val startedMs = clock.nowMs()

    /** True until this host has had the time to learn of all others and of the backend servers. */
    val isSettling: Boolean get() = clock.nowMs() - startedMs < SETTLING_MS

    /** Exchanges that are not finished. */
    var openExchanges: Int = 0

    /** Returns a uniform number in 0 until [bound]. */
    fun drawBelow(bound: Int): Int = random.nextInt(bound)

    fun nextId(): RequestId = RequestId(self.hostName, self.epoch, ++requestNumber)

    fun schedule(delayMs: Long, action: () -> Unit) =
        loop.schedule({ action() }, maxOf(0, delayMs), TimeUnit.MILLISECONDS)

    /** Keeps [exchange] until the scheduler places its request. */
    fun await(id: RequestId, exchange: Exchange) {
        waiting[id] = exchange
        if (!isPolling) {
            isPolling = true
            schedule(POLL_MS, ::poll)
        }
    }

    /** Gives up a request that waits. */
    fun withdraw(exchange: Exchange) {
        waiting.remove(exchange.profile.id)
        scheduler.cancel(exchange.profile)
    }

    /** Ends an attempt; requests that waited for its place go on. */
    fun complete(
        attempt: PlacedAttempt,
        result: AttemptResult,
    ) = deliver(scheduler.complete(attempt, result, clock.nowMs()))

    fun observe(attempt: PlacedAttempt, load: ReportedLoad) {
        scheduler.recordLoad(attempt.backendServer, load.running, load.queued, clock.nowMs())
        observeLoad(attempt, load)
    }

    private fun poll() {
        deliver(scheduler.poll(clock.nowMs()))
        isPolling = waiting.isNotEmpty()
        if (isPolling) schedule(POLL_MS, ::poll)
    }

    private fun deliver(placements: List<QueuedPlacement>) {
        for (queued in placements) waiting.remove(queued.profile.id)?.onPlacement(queued.placement)
    }

    private companion object {
        /** How often waiting requests are looked at without an attempt that ended. */
        const val POLL_MS = 20L

        /** Two announcement periods of backend servers and the start of a state host. */
        const val SETTLING_MS = 4_000L
    }
}
