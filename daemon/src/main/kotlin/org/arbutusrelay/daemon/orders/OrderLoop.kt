package org.arbutusrelay.daemon.orders

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.orders.DueOrder
import org.arbutusrelay.core.orders.OrderResult
import org.arbutusrelay.core.orders.OrderScheduler
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.BackendServerState
import kotlin.time.TimeSource

/** Gives the orders of a region while this host holds the leader lease of the region's ledger group. */
public class OrderLoop(
    private val group: ConsensusGroup<*>,
    private val scheduler: OrderScheduler,
    private val sender: OrderSender,
    private val manifest: () -> Manifest?,
    private val servers: () -> List<BackendServerState>,
    private val scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val start = timeSource.markNow()
    private val lock = Mutex()
    private var startedTerm = -1L

    private val nowMs: Long get() = start.elapsedNow().inWholeMilliseconds

    /** Starts to look for due orders twice a second, until [scope] ends. */
    public fun start() {
        scope.launch {
            while (true) {
                delay(INTERVAL_MS)
                giveDue()
            }
        }
    }

    private suspend fun giveDue() = lock.withLock {
        val current = manifest() ?: return@withLock
        val term = group.term
        if (!group.isLeaseHeld() || group.term != term) return@withLock
        if (term != startedTerm && scheduler.startTerm(term, nowMs)) startedTerm = term
        scheduler.due(current, servers(), nowMs).forEach { order -> scope.launch { give(order) } }
    }

    private suspend fun give(order: DueOrder) {
        // The order was decided a moment ago; without the lease another leader may give orders by now.
        val mayGive = group.isLeaseHeld() && group.term == order.order.fencingToken
        val result =
            if (mayGive) withTimeoutOrNull(order.timeoutMs) { sender.send(order) } ?: OrderResult.UNKNOWN else null
        lock.withLock { scheduler.complete(order, result ?: OrderResult.REFUSED, nowMs) }
    }

    private companion object {
        private const val INTERVAL_MS = 500L
    }
}
