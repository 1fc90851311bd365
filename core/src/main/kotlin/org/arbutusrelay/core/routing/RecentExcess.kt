package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.HalfLife
import java.util.concurrent.atomic.AtomicReference

/**
 * Tracks by how much first bytes came later than predicted, in milliseconds.
 *
 * What waits on the hosts of another region is not announced, so that only the responses tell. The excess halves every
 * [halfLifeMs] without samples, so that a region that got no requests because it was late is tried again.
 */
public class RecentExcess(halfLifeMs: Double = 1_000.0) {
    private val halfLife = HalfLife(halfLifeMs)
    private val state = AtomicReference(State(0.0, 0))

    /** Returns the excess at [nowMs], at least 0. */
    public fun at(nowMs: Long): Double = decayed(state.get(), nowMs)

    /** Records that a first byte came [excessMs] later than predicted; less than 0 counts as 0. */
    public fun record(excessMs: Double, nowMs: Long) {
        state.updateAndGet { old ->
            State(decayed(old, nowMs) * (1 - WEIGHT) + excessMs.coerceIn(0.0, MAX_EXCESS_MS) * WEIGHT, nowMs)
        }
    }

    private fun decayed(state: State, nowMs: Long): Double =
        state.excessMs * halfLife.weight(state.atMs, nowMs)

    private class State(val excessMs: Double, val atMs: Long)

    private companion object {
        /** One late first byte says little; five in a row nearly all. */
        const val WEIGHT = 0.2

        /** A longer wait than this is no different for callers, whose requests have about this long. */
        const val MAX_EXCESS_MS = 5_000.0
    }
}
