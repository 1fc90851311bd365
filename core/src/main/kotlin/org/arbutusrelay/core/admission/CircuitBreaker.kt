package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stops work to a backend server that fails, and lets one request through at intervals to learn whether it is back.
 *
 * [failureThreshold] consecutive failures open the breaker for [openMs] milliseconds.
 */
public class CircuitBreaker(private val failureThreshold: Int = 5, private val openMs: Long = 2_000) {
    private val failures = AtomicInteger()
    private val probeAtMs = AtomicLong(CLOSED)

    /** True while failures keep work away; single probes may still be admitted. */
    public val isOpen: Boolean get() = probeAtMs.get() != CLOSED

    /** Returns true when a request may be placed at [nowMs]; it reserves nothing. */
    public fun isReady(nowMs: Long): Boolean = nowMs >= probeAtMs.get()

    /** Admits one request; while the breaker is open only the first call after each interval succeeds. */
    public fun tryAdmit(nowMs: Long): Boolean {
        val probeAt = probeAtMs.get()
        if (probeAt == CLOSED) return true
        return nowMs >= probeAt && probeAtMs.compareAndSet(probeAt, nowMs + openMs)
    }

    /** Closes the breaker. */
    public fun recordSuccess() {
        if (failures.get() != 0) failures.set(0)
        if (probeAtMs.get() != CLOSED) probeAtMs.set(CLOSED)
    }

    /** Counts a failure and opens the breaker at the threshold. */
    public fun recordFailure(nowMs: Long) {
        if (failures.incrementAndGet() >= failureThreshold) probeAtMs.set(nowMs + openMs)
    }

    /**
     * Opens the breaker after one failure that leaves no doubt.
     *
     * A backend server that refuses connections has nothing in flight, so that it would be preferred until its lease
     * ends, and each request sent there would use up a retry.
     */
    public fun open(nowMs: Long): Unit = probeAtMs.set(nowMs + openMs)

    private companion object {
        private const val CLOSED = Long.MIN_VALUE
    }
}
