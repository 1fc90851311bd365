package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.HalfLife
import java.util.concurrent.atomic.AtomicReference

/**
 * Tracks the ratio of measured to predicted time of one backend server, as a factor of at least 1.
 *
 * The part above 1 halves every [halfLifeMs] without samples, so that a backend server that got no work because it was
 * slow is tried again.
 */
public class Slowdown(halfLifeMs: Double = 10_000.0) {
    private val halfLife = HalfLife(halfLifeMs)
    private val state = AtomicReference(State(1.0, 0))

    /** Returns the factor at [nowMs]. */
    public fun factor(nowMs: Long): Double {
        val latest = state.get()
        if (latest.factor <= 1.0) return 1.0
        return 1.0 + (latest.factor - 1.0) * halfLife.weight(latest.atMs, nowMs)
    }

    /** Records the ratio of the measured time to the predicted time. */
    public fun record(ratio: Double, nowMs: Long) {
        val next = factor(nowMs) * (1 - WEIGHT) + ratio.coerceIn(MIN_RATIO, MAX_RATIO) * WEIGHT
        state.set(State(next, nowMs))
    }

    private class State(val factor: Double, val atMs: Long)

    private companion object {
        private const val WEIGHT = 0.2
        private const val MIN_RATIO = 0.5
        private const val MAX_RATIO = 20.0
    }
}
