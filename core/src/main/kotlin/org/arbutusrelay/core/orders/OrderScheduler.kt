package org.arbutusrelay.core.orders

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.BackendServerState

/** A reconfiguration order that is due to be sent to an engine. */
public data class DueOrder(
    public val service: String,
    /** Name of the backend server. */
    public val backendServer: String,
    /** Base address of the backend server. */
    public val address: String,
    public val order: EngineOrder,
    /** Timeout of the order, in milliseconds. */
    public val timeoutMs: Long,
)

/** Result of an order. */
public enum class OrderResult {
    /** The engine executed the order, now or in an earlier attempt. */
    DONE,

    /** The engine rejected the order for a reason other than a stale token. */
    REFUSED,

    /** The engine has seen a higher fencing token. */
    STALE_TOKEN,

    /** No response was received; the order may still be executed. */
    UNKNOWN,
}

/**
 * Schedules the reconfiguration orders that the region leader sends to engines.
 *
 * Each service has at most one order in flight. An order without a response counts as in flight until the maximum
 * duration of an order has passed. Not thread-safe.
 */
public class OrderScheduler(
    private val region: String,
    private val leaderLeaseMs: Long = 1_000,
    private val retryDelayMs: Long = 30_000,
    private val invariants: Invariants = Invariants(),
) {
    private var term = -1L
    private var isFenced = false
    private var termStartMs = 0L
    private var nextLoadAllowedMs = 0L
    private val inFlight = HashMap<String, InFlight>()
    private val attemptsByChange = HashMap<String, AttemptState>()

    /**
     * Starts a term of this leader at [nowMs], with [newTerm] as its fencing token.
     *
     * Returns false and schedules no orders if the token would decrease.
     */
    public fun startTerm(newTerm: Long, nowMs: Long): Boolean {
        val isHigher =
            invariants.check(Guarantee.FENCING_MONOTONIC, newTerm >= term) { "token $newTerm is below token $term" }
        isFenced = !isHigher
        if (!isHigher || newTerm == term) return isHigher
        term = newTerm
        termStartMs = nowMs
        // The previous leader may have sent a load order just before its lease expired.
        nextLoadAllowedMs = Long.MIN_VALUE
        inFlight.clear()
        return true
    }

    /** Returns the orders to send at [nowMs] and marks them as in flight. */
    public fun due(manifest: Manifest, servers: List<BackendServerState>, nowMs: Long): List<DueOrder> {
        if (term < 0 || isFenced) return emptyList()
        val loadIntervalMs = MINUTE_MS / (manifest.weightStore?.maxLoadsPerMinute ?: DEFAULT_LOADS_PER_MINUTE)
        if (nextLoadAllowedMs == Long.MIN_VALUE) nextLoadAllowedMs = termStartMs + loadIntervalMs
        pruneAttempts(servers, nowMs)
        return manifest.services.mapNotNull { service ->
            val isOrderAllowed = nowMs >= firstOrderMs(service.isFencingChecked, service.longestOrderMs)
            val isBusy = inFlight[service.name]?.let { nowMs < it.expiresMs } == true
            if (!isOrderAllowed || isBusy) return@mapNotNull null
            val change =
                OrderPlanner.plan(service, region, servers).firstOrNull {
                    val isLoad = it.action == EngineOrder.Action.LOAD
                    (!isLoad || nowMs >= nextLoadAllowedMs) && (attemptsByChange[it.name]?.nextAttemptMs ?: 0) <= nowMs
                }
            change?.let { createOrder(it, loadIntervalMs, nowMs) }
        }
    }

    /** Records the result of an order. Results from an earlier term are ignored. */
    public fun complete(due: DueOrder, result: OrderResult, nowMs: Long) {
        if (due.order.fencingToken != term) return
        val current = inFlight[due.service]?.takeIf { it.orderId == due.order.orderId } ?: return
        if (result == OrderResult.STALE_TOKEN) isFenced = true
        // An order without a response may still be executing, so its service stays busy until `expiresMs`.
        if (result != OrderResult.UNKNOWN) inFlight.remove(due.service)
        val previous = attemptsByChange[current.changeName] ?: AttemptState(0, 0)
        val generation = if (result == OrderResult.DONE) previous.generation + 1 else previous.generation
        // After success, the delay lets the engine announce its new state first.
        val delayMs = if (result == OrderResult.DONE) ANNOUNCEMENT_DELAY_MS else retryDelayMs
        attemptsByChange[current.changeName] = AttemptState(generation, nowMs + delayMs)
    }

    private fun firstOrderMs(isFencingChecked: Boolean, longestOrderMs: Long): Long =
        if (isFencingChecked) termStartMs else termStartMs + leaderLeaseMs + longestOrderMs

    /**
     * Creates the order for [change] and marks it as in flight.
     *
     * Its identifier stays the same across leaders and retries, until an engine reports the order as done while the
     * change is still required.
     */
    private fun createOrder(change: ServerChange, loadIntervalMs: Long, nowMs: Long): DueOrder {
        if (change.action == EngineOrder.Action.LOAD) nextLoadAllowedMs = nowMs + loadIntervalMs
        val orderId = "${change.name}/${attemptsByChange[change.name]?.generation ?: 0}"
        val timeoutMs = change.service.longestOrderMs
        inFlight[change.service.name] = InFlight(orderId, change.name, nowMs + timeoutMs)
        val server = change.backendServer
        val order = EngineOrder(orderId, term, change.action, change.target)
        return DueOrder(change.service.name, server.name, server.address, order, timeoutMs)
    }

    /** Removes the attempts for incarnations that no longer exist, to bound memory. */
    private fun pruneAttempts(servers: List<BackendServerState>, nowMs: Long) {
        if (attemptsByChange.size <= MAX_ATTEMPT_STATES) return
        val live = servers.map { it.changePrefix }.toSet()
        attemptsByChange.entries.removeIf { (name, attempt) ->
            attempt.nextAttemptMs <= nowMs && live.none { name.startsWith(it) }
        }
    }

    private val BackendServerState.changePrefix: String get() = "$service/$name/$incarnation/"

    private val ServerChange.name: String get() = "${backendServer.changePrefix}${action.name.lowercase()}/$target"

    private class InFlight(val orderId: String, val changeName: String, val expiresMs: Long)

    private class AttemptState(val generation: Long, val nextAttemptMs: Long)

    private companion object {
        private const val MINUTE_MS = 60_000L
        private const val DEFAULT_LOADS_PER_MINUTE = 6L
        private const val MAX_ATTEMPT_STATES = 4_096

        /** Engines renew their announcement every second; three intervals tolerate a lost one. */
        private const val ANNOUNCEMENT_DELAY_MS = 3_000L
    }
}
