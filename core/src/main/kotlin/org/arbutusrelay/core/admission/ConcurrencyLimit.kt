package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicLong

/**
 * Adapts how many requests a backend server runs at the same time, between 1 and its announced [capacity].
 *
 * Additive increase, multiplicative decrease: a full limit grows by about 1 in each round of successes, and a sign of
 * overload takes a fifth off. Decreases are [cooldownMs] apart because one overload fails many requests at once.
 */
public class ConcurrencyLimit(private val capacity: Int, private val cooldownMs: Long = 1_000) {
    private val limitMilli = AtomicLong(capacity * MILLI)
    private val lastDecreaseMs = AtomicLong(Long.MIN_VALUE / 2)

    init {
        require(capacity >= 1) { "capacity $capacity is below 1" }
    }

    /** Returns the limit in requests. */
    public fun current(): Int = (limitMilli.get() / MILLI).toInt()

    /** Raises the limit when [inFlight] used at least half of it. */
    public fun recordSuccess(inFlight: Int) {
        val limit = limitMilli.get()
        if (limit >= capacity * MILLI || inFlight * 2 * MILLI < limit) return
        limitMilli.compareAndSet(limit, minOf(capacity * MILLI, limit + MILLI * MILLI / limit))
    }

    /** Lowers the limit after a refusal, a time-out or a response that took far longer than predicted. */
    public fun recordOverload(nowMs: Long) {
        val last = lastDecreaseMs.get()
        if (nowMs - last < cooldownMs || !lastDecreaseMs.compareAndSet(last, nowMs)) return
        limitMilli.updateAndGet { maxOf(MILLI, it * DECREASE_PERCENT / PERCENT) }
    }

    private companion object {
        private const val MILLI = 1_000L
        private const val DECREASE_PERCENT = 80L
        private const val PERCENT = 100L
    }
}
