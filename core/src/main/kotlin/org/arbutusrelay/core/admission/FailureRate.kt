package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicReference

/**
 * Estimates the failure rate of one backend server, with exponential decay.
 *
 * The successes of a server that fails intermittently close its circuit breaker again, so only its failure rate
 * distinguishes it from a healthy one. The weight of a request halves every [halfLifeMs], so that a server that
 * received no requests because of its failures is tried again.
 */
public class FailureRate(halfLifeMs: Double = 1_500.0) {
    private val halfLife = HalfLife(halfLifeMs)
    private val state = AtomicReference(State(0.0, 0.0, 0))

    /** Returns the failure rate at [nowMs], from 0 to 1, smoothed towards 0 while there are few requests. */
    public fun at(nowMs: Long): Double {
        val current = state.get()
        if (current.failures == 0.0) return 0.0
        val weight = halfLife.weight(current.atMs, nowMs)
        return current.failures * weight / (current.requests * weight + PRIOR_SUCCESSES)
    }

    /** Records the result of a request that ended at [nowMs]. */
    public fun record(isFailure: Boolean, nowMs: Long) {
        state.updateAndGet { previous ->
            val weight = halfLife.weight(previous.atMs, nowMs)
            State(previous.failures * weight + (if (isFailure) 1.0 else 0.0), previous.requests * weight + 1.0, nowMs)
        }
    }

    private class State(val failures: Double, val requests: Double, val atMs: Long)

    private companion object {
        /** Assumed successes: one failure among few requests must not divert traffic, but two in a row must. */
        const val PRIOR_SUCCESSES = 5.0
    }
}
