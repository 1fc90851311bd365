package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the rate of requests from this host to a backend server that is cold.
 *
 * The rate limit of a cold backend server holds for all hosts together, and it crashes well above that rate. Each host
 * therefore gets a share of it and spaces its requests by the corresponding interval.
 */
public class ColdServerRateLimiter {
    private val nextMs = AtomicLong(Long.MIN_VALUE)

    @Volatile
    private var coldUntilMs = Long.MIN_VALUE

    @Volatile
    private var intervalMs = 0L

    /** Sets how much longer the backend server stays cold and the request rate that this host may use until then. */
    public fun update(coldMs: Long, ratePerSecond: Double, nowMs: Long) {
        intervalMs = if (ratePerSecond > 0) (MS_PER_SECOND / ratePerSecond).toLong() + 1 else NEVER_MS
        coldUntilMs = if (coldMs > 0) nowMs + coldMs else Long.MIN_VALUE
    }

    /** Returns the time in milliseconds until the backend server is warm. */
    public fun remainingMs(nowMs: Long): Long = if (nowMs >= coldUntilMs) 0 else coldUntilMs - nowMs

    /** Returns true when a request may be sent at [nowMs]; it reserves nothing. */
    public fun isOpen(nowMs: Long): Boolean = nowMs >= coldUntilMs || (intervalMs < NEVER_MS && nowMs >= nextMs.get())

    /**
     * Acquires the permit of the current interval; returns false when there is none or another thread
     * acquires it first.
     */
    public fun tryAcquire(nowMs: Long): Boolean {
        if (nowMs >= coldUntilMs) return true
        val next = nextMs.get()
        return intervalMs < NEVER_MS && nowMs >= next && nextMs.compareAndSet(next, nowMs + intervalMs)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val NEVER_MS = Long.MAX_VALUE / 4
    }
}
