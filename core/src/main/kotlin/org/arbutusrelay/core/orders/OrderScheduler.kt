package org.arbutusrelay.core.orders

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.api.EngineOrder
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.BackendServerState

/** An order to send now. */
public data class DueOrder(
    public val service: String,
    /** Name of the backend server. */
    public val backendServer: String,
    /** Base address of the backend server. */
    public val address: String,
    public val order: EngineOrder,
    /** Longest time that the order may take, in milliseconds; the sender gives up then. */
    public val timeoutMs: Long,
)

/** How an order ended. */
public enum class OrderResult {
    /** The engine carried the order out, or had done so before. */
    DONE,

    /** The engine refused the order without a newer token. */
    REFUSED,

    /** The engine has seen a higher fencing token. */
    STALE_TOKEN,

    /** There was no answer; the order may still be carried out. */
    UNKNOWN,
}

/**
 * Decides which orders the region leader gives, and when.
 *
 * Not thread-safe. Each service has at most one order in flight. An order without an answer counts as in flight until
 * the longest duration of an order has passed.
 */
public class OrderScheduler(
    private val region: String,
    private val leaderLeaseMs: Long = 1_000,
    private val retryDelayMs: Long = 30_000,
    private val invariants: Invariants = Invariants(),
) {
    private var term = -1L
    private var isDeposed = false
    private var termStartMs = 0L
    private var nextLoadMs = 0L
    private val inFlight = HashMap<String, InFlight>()
    private val attempts = HashMap<String, Attempts>()

    /**
     * Begins a term of this leader at [nowMs]; its fencing token is [newTerm].
     *
     * Returns false, and gives no orders, when the token would decrease.
     */
    public fun startTerm(newTerm: Long, nowMs: Long): Boolean {
        val isHigher =
            invariants.check(Guarantee.FENCING_MONOTONIC, newTerm >= term) { "token $newTerm after token $term" }
        isDeposed = !isHigher
        if (!isHigher || newTerm == term) return isHigher
        term = newTerm
        termStartMs = nowMs
        // The former leader may have given a load just before its lease ended.
        nextLoadMs = Long.MIN_VALUE
        inFlight.clear()
        return true
    }

    /** Returns the orders to send at [nowMs]; each counts as sent. */
    public fun due(manifest: Manifest, servers: List<BackendServerState>, nowMs: Long): List<DueOrder> {
        if (term < 0 || isDeposed) return emptyList()
        val loadIntervalMs = MINUTE_MS / (manifest.weightStore?.maxLoadsPerMinute ?: DEFAULT_LOADS_PER_MINUTE)
        if (nextLoadMs == Long.MIN_VALUE) nextLoadMs = termStartMs + loadIntervalMs
        forget(servers, nowMs)
        return manifest.services.mapNotNull { service ->
            val mayOrder = nowMs >= firstOrderMs(service.isFencingChecked, service.longestOrderMs)
            val isBusy = inFlight[service.name]?.let { nowMs < it.endsMs } == true
            if (!mayOrder || isBusy) return@mapNotNull null
            val change =
                OrderPlanner.plan(service, region, servers).firstOrNull {
                    val isLoad = it.action == EngineOrder.Action.LOAD
                    (!isLoad || nowMs >= nextLoadMs) && (attempts[it.name]?.nextMs ?: 0) <= nowMs
                }
            change?.let { give(it, loadIntervalMs, nowMs) }
        }
    }

    /** Records how an order ended. Results of a former term are ignored. */
    public fun complete(due: DueOrder, result: OrderResult, nowMs: Long) {
        if (due.order.fencingToken != term) return
        val current = inFlight[due.service]?.takeIf { it.orderId == due.order.orderId } ?: return
        if (result == OrderResult.STALE_TOKEN) isDeposed = true
        // An order without an answer may still be running, so its service stays busy until `endsMs`.
        if (result != OrderResult.UNKNOWN) inFlight.remove(due.service)
        val before = attempts[current.changeName] ?: Attempts(0, 0)
        val generation = if (result == OrderResult.DONE) before.generation + 1 else before.generation
        // After success the delay gives the engine time to announce what it holds now.
        val delayMs = if (result == OrderResult.DONE) ANNOUNCEMENT_MS else retryDelayMs
        attempts[current.changeName] = Attempts(generation, nowMs + delayMs)
    }

    private fun firstOrderMs(isFencingChecked: Boolean, longestOrderMs: Long): Long =
        if (isFencingChecked) termStartMs else termStartMs + leaderLeaseMs + longestOrderMs

    /**
     * Builds the order. Its identifier is the same for each leader and each repetition, until an engine reports it done
     * while the change is still wanted.
     */
    private fun give(change: WantedChange, loadIntervalMs: Long, nowMs: Long): DueOrder {
        if (change.action == EngineOrder.Action.LOAD) nextLoadMs = nowMs + loadIntervalMs
        val orderId = "${change.name}/${attempts[change.name]?.generation ?: 0}"
        val timeoutMs = change.service.longestOrderMs
        inFlight[change.service.name] = InFlight(orderId, change.name, nowMs + timeoutMs)
        val server = change.backendServer
        val order = EngineOrder(orderId, term, change.action, change.target)
        return DueOrder(change.service.name, server.name, server.address, order, timeoutMs)
    }

    /** Drops what is known of incarnations that are gone, so that memory stays bounded. */
    private fun forget(servers: List<BackendServerState>, nowMs: Long) {
        if (attempts.size <= MAX_ATTEMPTS) return
        val live = servers.map { it.prefix }.toSet()
        attempts.entries.removeIf { (name, attempt) ->
            attempt.nextMs <= nowMs && live.none { name.startsWith(it) }
        }
    }

    private val BackendServerState.prefix: String get() = "$service/$name/$incarnation/"

    private val WantedChange.name: String get() = "${backendServer.prefix}${action.name.lowercase()}/$target"

    private class InFlight(val orderId: String, val changeName: String, val endsMs: Long)

    private class Attempts(val generation: Long, val nextMs: Long)

    private companion object {
        private const val MINUTE_MS = 60_000L
        private const val DEFAULT_LOADS_PER_MINUTE = 6L
        private const val MAX_ATTEMPTS = 4_096

        /** Engines renew their announcement each second; three renewals cover a lost one. */
        private const val ANNOUNCEMENT_MS = 3_000L
    }
}
