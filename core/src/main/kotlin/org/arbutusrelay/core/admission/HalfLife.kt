package org.arbutusrelay.core.admission

import kotlin.math.pow

/** Weighs what was measured by its age: half as much after each [halfLifeMs]. */
internal class HalfLife(private val halfLifeMs: Double) {
    /** Returns the weight at [nowMs] of what was measured at [atMs], in 0 to 1. */
    fun weight(atMs: Long, nowMs: Long): Double = HALF.pow(maxOf(0L, nowMs - atMs) / halfLifeMs)

    private companion object {
        const val HALF = 0.5
    }
}
