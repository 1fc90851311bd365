package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stops sending requests to a failing backend server, and admits one probe per interval to detect its recovery.
 *
 * The breaker opens for [openMs] milliseconds after [failureThreshold] failures in a row.
 */
public class CircuitBreaker(private val failureThreshold: Int = 5, private val openMs: Long = 2_000) {
    private val consecutiveFailures = AtomicInteger()
    private val nextProbeMs = AtomicLong(CLOSED)

    /** True while the breaker is open; single probes may still be admitted. */
    public val isOpen: Boolean get() = nextProbeMs.get() != CLOSED

    /** Returns true if a request could be admitted at [nowMs], without using up a probe. */
    public fun isReady(nowMs: Long): Boolean = nowMs >= nextProbeMs.get()

    /** Admits one request; while the breaker is open, only the first call of each interval is admitted. */
    public fun tryAdmit(nowMs: Long): Boolean {
        val probeMs = nextProbeMs.get()
        if (probeMs == CLOSED) return true
        return nowMs >= probeMs && nextProbeMs.compareAndSet(probeMs, nowMs + openMs)
    }

    /** Closes the breaker and resets the count of failures. */
    public fun recordSuccess() {
        if (consecutiveFailures.get() != 0) consecutiveFailures.set(0)
        if (nextProbeMs.get() != CLOSED) nextProbeMs.set(CLOSED)
    }

    /** Counts a failure, and opens the breaker once the threshold is reached. */
    public fun recordFailure(nowMs: Long) {
        if (consecutiveFailures.incrementAndGet() >= failureThreshold) nextProbeMs.set(nowMs + openMs)
    }

    /**
     * Opens the breaker at once, after a failure that is conclusive by itself.
     *
     * A backend server that refuses connections has no requests in flight and would be preferred by load until its
     * lease expires, and each request sent to it would use up a retry.
     */
    public fun open(nowMs: Long): Unit = nextProbeMs.set(nowMs + openMs)

    private companion object {
        private const val CLOSED = Long.MIN_VALUE
    }
}
