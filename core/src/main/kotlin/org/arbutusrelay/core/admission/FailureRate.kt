package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicReference

/**
 * Estimates which share of the requests to one backend server fails.
 *
 * A backend server that fails now and then closes each circuit breaker again by its successes, so that only the share
 * tells it from a sound one. Requests count half as much after each [halfLifeMs], so that a server that got no work
 * because it failed is tried again.
 */
public class FailureRate(halfLifeMs: Double = 1_500.0) {
    private val halfLife = HalfLife(halfLifeMs)
    private val state = AtomicReference(State(0.0, 0.0, 0))

    /** Returns the share at [nowMs], in 0 to 1; a few requests alone say little. */
    public fun at(nowMs: Long): Double {
        val latest = state.get()
        if (latest.failures == 0.0) return 0.0
        val weight = halfLife.weight(latest.atMs, nowMs)
        return latest.failures * weight / (latest.requests * weight + PRIOR_SUCCESSES)
    }

    /** Records a request that ended at [nowMs]. */
    public fun record(isFailure: Boolean, nowMs: Long) {
        state.updateAndGet { old ->
            val weight = halfLife.weight(old.atMs, nowMs)
            State(old.failures * weight + (if (isFailure) 1.0 else 0.0), old.requests * weight + 1.0, nowMs)
        }
    }

    private class State(val failures: Double, val requests: Double, val atMs: Long)

    private companion object {
        /** One failure among few requests must not keep work away; two in a row do. */
        const val PRIOR_SUCCESSES = 5.0
    }
}
