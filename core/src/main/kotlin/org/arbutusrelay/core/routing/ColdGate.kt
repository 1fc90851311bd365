package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong

/**
 * Spaces the requests of this host to a backend server that is cold.
 *
 * A cold backend server crashes at a rate well above the one it tolerates, counted over all hosts, so that each host
 * gets a share of that rate and never sends two requests closer together than its share allows.
 */
public class ColdGate {
    private val nextMs = AtomicLong(Long.MIN_VALUE)

    @Volatile
    private var coldUntilMs = Long.MIN_VALUE

    @Volatile
    private var intervalMs = 0L

    /** Takes over how much longer the backend server stays cold and what this host may send it meanwhile. */
    public fun update(coldMs: Long, ratePerSecond: Double, nowMs: Long) {
        intervalMs = if (ratePerSecond > 0) (MS_PER_SECOND / ratePerSecond).toLong() + 1 else NEVER_MS
        coldUntilMs = if (coldMs > 0) nowMs + coldMs else Long.MIN_VALUE
    }

    /** Returns how much longer the backend server is cold at [nowMs], in milliseconds. */
    public fun remainingMs(nowMs: Long): Long = if (nowMs >= coldUntilMs) 0 else coldUntilMs - nowMs

    /** Returns true when a request may be sent at [nowMs]; it reserves nothing. */
    public fun isOpen(nowMs: Long): Boolean = nowMs >= coldUntilMs || (intervalMs < NEVER_MS && nowMs >= nextMs.get())

    /** Takes the turn of one request; returns false when another took it first. */
    public fun tryPass(nowMs: Long): Boolean {
        if (nowMs >= coldUntilMs) return true
        val next = nextMs.get()
        return intervalMs < NEVER_MS && nowMs >= next && nextMs.compareAndSet(next, nowMs + intervalMs)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val NEVER_MS = Long.MAX_VALUE / 4
    }
}
