package org.arbutusrelay.core.admission

import kotlin.math.pow

/** Exponential decay of a measurement's weight, which halves every [halfLifeMs] of its age. */
internal class HalfLife(private val halfLifeMs: Double) {
    /** Returns the weight at [nowMs] of a measurement made at [atMs], from 0 to 1. */
    fun weight(atMs: Long, nowMs: Long): Double = HALF.pow(maxOf(0L, nowMs - atMs) / halfLifeMs)

    private companion object {
        const val HALF = 0.5
    }
}
