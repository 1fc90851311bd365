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

/** Sends the orders of a region while this host holds the leader lease of the region's ledger group. */
public class OrderLoop(
    private val group: ConsensusGroup<*>,
    private val scheduler: OrderScheduler,
    private val sender: OrderSender,
    private val manifest: () -> Manifest?,
    private val servers: () -> List<BackendServerState>,
    private val scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val origin = timeSource.markNow()
    private val lock = Mutex()
    private var startedTerm = -1L

    private val nowMs: Long get() = origin.elapsedNow().inWholeMilliseconds

    /** Checks for due orders twice a second until [scope] is cancelled. */
    public fun start() {
        scope.launch {
            while (true) {
                delay(POLL_INTERVAL_MS)
                sendDueOrders()
            }
        }
    }

    private suspend fun sendDueOrders() = lock.withLock {
        val current = manifest() ?: return@withLock
        val term = group.term
        if (!group.isLeaseHeld() || group.term != term) return@withLock
        if (term != startedTerm && scheduler.startTerm(term, nowMs)) startedTerm = term
        scheduler.due(current, servers(), nowMs).forEach { order -> scope.launch { sendIfLeader(order) } }
    }

    private suspend fun sendIfLeader(order: DueOrder) {
        // The lease may have been lost since the order was scheduled, and another leader may already send orders.
        val isLeader = group.isLeaseHeld() && group.term == order.order.fencingToken
        val result =
            if (isLeader) withTimeoutOrNull(order.timeoutMs) { sender.send(order) } ?: OrderResult.UNKNOWN else null
        lock.withLock { scheduler.complete(order, result ?: OrderResult.REFUSED, nowMs) }
    }

    private companion object {
        private const val POLL_INTERVAL_MS = 500L
    }
}
