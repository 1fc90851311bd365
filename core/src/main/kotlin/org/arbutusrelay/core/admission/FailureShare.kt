package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicReference
import kotlin.math.pow

/**
 * Estimates which share of the requests to one backend server fails.
 *
 * A backend server that fails now and then closes each circuit breaker again by its successes, so that only the share
 * tells it from a sound one. Requests count half as much after each [halfLifeMs], so that a server that got no work
 * because it failed is tried again.
 */
public class FailureShare(private val halfLifeMs: Double = 1_500.0) {
    private val state = AtomicReference(State(0.0, 0.0, 0))

    /** Returns the share at [nowMs], in 0 to 1; a few requests alone say little. */
    public fun at(nowMs: Long): Double {
        val latest = state.get()
        if (latest.failures == 0.0) return 0.0
        val weight = weightOf(latest, nowMs)
        return latest.failures * weight / (latest.requests * weight + PRIOR_SUCCESSES)
    }

    /** Records a request that ended at [nowMs]. */
    public fun record(isFailure: Boolean, nowMs: Long) {
        state.updateAndGet { old ->
            val weight = weightOf(old, nowMs)
            State(old.failures * weight + (if (isFailure) 1.0 else 0.0), old.requests * weight + 1.0, nowMs)
        }
    }

    private fun weightOf(state: State, nowMs: Long): Double =
        HALF.pow((nowMs - state.atMs).coerceAtLeast(0) / halfLifeMs)

    private class State(val failures: Double, val requests: Double, val atMs: Long)

    private companion object {
        const val HALF = 0.5

        /** One failure among few requests must not keep work away; two in a row do. */
        const val PRIOR_SUCCESSES = 5.0
    }
}
