package org.arbutusrelay.standin.fleet

import java.util.Random

/** How the engines of a model shed load. */
internal data class SheddingSpec(
    /** Share of the requests that an engine answers with 503 and `Retry-After`. */
    val share: Double = 0.25,
    val minPauseMs: Double = 500.0,
    val maxPauseMs: Double = 3_000.0,
    /** True when hosts send nothing to an engine until the end of its `Retry-After`. */
    val isPauseObserved: Boolean = true,
)

/** Decides which requests the engines refuse, and counts those that hosts send during a pause. */
internal class EngineShedding(private val spec: SheddingSpec, seed: Long) {
    private class Pause(val startMs: Double, val endMs: Double)

    private val random = Random(seed)
    private val pauses = HashMap<Pair<String, String>, Pause>()

    /** Requests that reached an engine during a pause that it had asked their host for. */
    var sentInPause = 0
        private set

    /** Those of [sentInPause] that came later than a request that was on its way when the pause began. */
    var sentLateInPause = 0
        private set

    /** Returns the `Retry-After` with which [engine] refuses a request of [host], or null when it accepts it. */
    fun refusalMs(engine: String, host: String, nowMs: Double): Long? {
        val current = pauses[engine to host]
        if (current != null && nowMs < current.endMs) {
            sentInPause++
            if (nowMs >= current.startMs + ON_THE_WAY_MS) sentLateInPause++
            return (current.endMs - nowMs).toLong()
        }
        if (random.nextDouble() >= spec.share) return null
        val pauseMs = spec.minPauseMs + random.nextDouble() * (spec.maxPauseMs - spec.minPauseMs)
        pauses[engine to host] = Pause(nowMs, nowMs + pauseMs)
        return pauseMs.toLong()
    }

    /** Returns a random share of the time by which a host prolongs a pause. */
    fun nextSpread(): Double = random.nextDouble()

    private companion object {
        const val ON_THE_WAY_MS = 500.0
    }
}
