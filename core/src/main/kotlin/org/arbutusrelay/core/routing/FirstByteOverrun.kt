package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.HalfLife
import java.util.concurrent.atomic.AtomicReference

/**
 * Tracks how much later than predicted first bytes arrive, in milliseconds.
 *
 * Queues on the hosts of another region are not announced, so only responses reveal them. The overrun halves every
 * [halfLifeMs] without samples, so that a region that got no requests because it was late is tried again.
 */
public class FirstByteOverrun(halfLifeMs: Double = 1_000.0) {
    private val halfLife = HalfLife(halfLifeMs)
    private val state = AtomicReference(State(0.0, 0))

    /** Returns the overrun at [nowMs], at least 0. */
    public fun at(nowMs: Long): Double = decayed(state.get(), nowMs)

    /** Records that a first byte arrived [overrunMs] later than predicted; negative values count as 0. */
    public fun record(overrunMs: Double, nowMs: Long) {
        state.updateAndGet { old ->
            State(decayed(old, nowMs) * (1 - WEIGHT) + overrunMs.coerceIn(0.0, MAX_OVERRUN_MS) * WEIGHT, nowMs)
        }
    }

    private fun decayed(state: State, nowMs: Long): Double =
        state.overrunMs * halfLife.weight(state.atMs, nowMs)

    private class State(val overrunMs: Double, val atMs: Long)

    private companion object {
        /** A single late first byte has little effect; five in a row account for two thirds of the overrun. */
        const val WEIGHT = 0.2

        /**
         * Bounds the overrun: a longer wait makes no difference to callers, whose requests have about this much time.
         */
        const val MAX_OVERRUN_MS = 5_000.0
    }
}
