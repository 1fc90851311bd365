package org.arbutusrelay.core.admission

import org.arbutusrelay.schema.manifest.Caller
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Enforces each caller's rate, burst and requests in flight on this host, as the manifest in force names them.
 *
 * The rate is limited by the generic cell rate algorithm: one number for each caller, the theoretical arrival time.
 */
public class CallerLimits(private val callerOf: (String) -> Caller?) {
    private val usages = ConcurrentHashMap<String, Usage>()

    /**
     * Admits one request and returns 0, or returns the time in milliseconds after which another try can succeed.
     *
     * A request that is admitted must be ended by [release]. [isRateExempt] admits a retry, which was counted before.
     */
    public fun tryAcquire(callerName: String, nowMs: Long, isRateExempt: Boolean): Long {
        val caller = callerOf(callerName) ?: return 0
        val usage = usages.computeIfAbsent(callerName) { Usage() }
        if (usage.inFlight.incrementAndGet() > caller.maxInFlight) {
            usage.inFlight.decrementAndGet()
            return IN_FLIGHT_RETRY_MS
        }
        val waitMs = if (isRateExempt) 0 else usage.tryRate(caller, nowMs)
        if (waitMs > 0) usage.inFlight.decrementAndGet()
        return waitMs
    }

    /** Ends a request that was admitted. */
    public fun release(callerName: String) {
        val usage = usages[callerName] ?: return
        usage.inFlight.updateAndGet { maxOf(0, it - 1) }
    }

    /** Returns how many admitted requests of the caller have not ended. */
    public fun inFlight(callerName: String): Int = usages[callerName]?.inFlight?.get() ?: 0

    private class Usage {
        val inFlight = AtomicInteger()
        private val arrivalMicros = AtomicLong(Long.MIN_VALUE / 2)

        fun tryRate(caller: Caller, nowMs: Long): Long {
            val stepMicros = MICROS_PER_SECOND / caller.requestsPerSecond
            val nowMicros = nowMs * MICROS_PER_MS
            while (true) {
                val arrival = arrivalMicros.get()
                val next = maxOf(arrival, nowMicros) + stepMicros
                val excess = next - nowMicros - stepMicros * caller.burstRequests
                if (excess > 0) return (excess + MICROS_PER_MS - 1) / MICROS_PER_MS
                if (arrivalMicros.compareAndSet(arrival, next)) return 0
            }
        }
    }

    private companion object {
        private const val MICROS_PER_SECOND = 1_000_000L
        private const val MICROS_PER_MS = 1_000L
        private const val IN_FLIGHT_RETRY_MS = 1_000L
    }
}
