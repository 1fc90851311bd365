package org.arbutusrelay.core.admission

import org.arbutusrelay.schema.manifest.Caller
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Enforces the rate, burst and concurrency limits that the current manifest sets for each caller, on this host only.
 *
 * The rate is limited by the generic cell rate algorithm, whose only state per caller is the theoretical arrival time.
 */
public class CallerLimits(private val callerOf: (String) -> Caller?) {
    private val usages = ConcurrentHashMap<String, Usage>()

    /**
     * Admits one request and returns 0, or rejects it and returns the delay in milliseconds before the next attempt.
     *
     * Each admitted request must be released with [release]. [isRateExempt] is set for a retry, because its first
     * attempt was already counted against the rate.
     */
    public fun tryAcquire(callerName: String, nowMs: Long, isRateExempt: Boolean): Long {
        val caller = callerOf(callerName) ?: return 0
        val usage = usages.computeIfAbsent(callerName) { Usage() }
        if (usage.inFlight.incrementAndGet() > caller.maxInFlight) {
            usage.inFlight.decrementAndGet()
            return IN_FLIGHT_RETRY_AFTER_MS
        }
        val waitMs = if (isRateExempt) 0 else usage.tryAcquireRate(caller, nowMs)
        if (waitMs > 0) usage.inFlight.decrementAndGet()
        return waitMs
    }

    /** Releases an admitted request. */
    public fun release(callerName: String) {
        val usage = usages[callerName] ?: return
        usage.inFlight.updateAndGet { maxOf(0, it - 1) }
    }

    /** Returns the number of admitted requests of the caller that were not released yet. */
    public fun inFlight(callerName: String): Int = usages[callerName]?.inFlight?.get() ?: 0

    private class Usage {
        val inFlight = AtomicInteger()
        private val theoreticalArrivalMicros = AtomicLong(Long.MIN_VALUE / 2)

        fun tryAcquireRate(caller: Caller, nowMs: Long): Long {
            val emissionIntervalMicros = MICROS_PER_SECOND / caller.requestsPerSecond
            val nowMicros = nowMs * MICROS_PER_MS
            while (true) {
                val currentMicros = theoreticalArrivalMicros.get()
                val nextMicros = maxOf(currentMicros, nowMicros) + emissionIntervalMicros
                val excessMicros = nextMicros - nowMicros - emissionIntervalMicros * caller.burstRequests
                if (excessMicros > 0) return (excessMicros + MICROS_PER_MS - 1) / MICROS_PER_MS
                if (theoreticalArrivalMicros.compareAndSet(currentMicros, nextMicros)) return 0
            }
        }
    }

    private companion object {
        private const val MICROS_PER_SECOND = 1_000_000L
        private const val MICROS_PER_MS = 1_000L
        private const val IN_FLIGHT_RETRY_AFTER_MS = 1_000L
    }
}
