package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicLong

/**
 * Adaptive limit of the concurrent requests to a backend server, between 1 and its announced [capacity].
 *
 * Uses additive increase, multiplicative decrease: a fully used limit grows by about 1 per limit's worth of successes,
 * and an overload signal reduces it by a fifth. Decreases are at least [cooldownMs] apart, because a single overload
 * fails many requests at once.
 */
public class ConcurrencyLimit(private val capacity: Int, private val cooldownMs: Long = 1_000) {
    private val limitMilli = AtomicLong(capacity * MILLI)
    private val lastDecreaseAtMs = AtomicLong(Long.MIN_VALUE / 2)

    init {
        require(capacity >= 1) { "capacity $capacity is below 1" }
    }

    /** Returns the current limit, in requests. */
    public fun current(): Int = (limitMilli.get() / MILLI).toInt()

    /** Raises the limit after a success, if [inFlight] is at least half of it. */
    public fun recordSuccess(inFlight: Int) {
        val limit = limitMilli.get()
        if (limit >= capacity * MILLI || inFlight * 2 * MILLI < limit) return
        limitMilli.compareAndSet(limit, minOf(capacity * MILLI, limit + MILLI * MILLI / limit))
    }

    /** Lowers the limit after a rejection, a timeout or a response that took much longer than predicted. */
    public fun recordOverload(nowMs: Long) {
        val previousMs = lastDecreaseAtMs.get()
        if (nowMs - previousMs < cooldownMs || !lastDecreaseAtMs.compareAndSet(previousMs, nowMs)) return
        limitMilli.updateAndGet { maxOf(MILLI, it * DECREASE_FACTOR_PERCENT / PERCENT) }
    }

    private companion object {
        private const val MILLI = 1_000L
        private const val DECREASE_FACTOR_PERCENT = 80L
        private const val PERCENT = 100L
    }
}
