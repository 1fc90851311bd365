package org.arbutusrelay.standin.fleet

import java.util.Random
import kotlin.math.ln

/** Tells when other work slows the machine of an engine; the time between two periods is exponentially distributed. */
internal class Disturbance(private val spec: DisturbanceSpec, seed: Long) {
    private val random = Random(seed)
    private var startMs = nextStartMs(0.0)

    /** Returns the factor by which a step that starts at [nowMs] takes longer; times must not decrease. */
    fun factorAt(nowMs: Double): Double {
        while (nowMs >= startMs + spec.lengthMs) startMs = nextStartMs(startMs + spec.lengthMs)
        return if (nowMs >= startMs) spec.factor else 1.0
    }

    private fun nextStartMs(endMs: Double): Double =
        endMs - ln(1 - random.nextDouble()) * spec.lengthMs * (1 - spec.share) / spec.share
}
