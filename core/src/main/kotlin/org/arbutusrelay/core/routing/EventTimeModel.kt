package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.HalfLife
import java.util.concurrent.atomic.AtomicReference

/**
 * Models the mean time between two events of a stream as a linear function of the load share of its server.
 *
 * Prefill chunks of other requests and short disturbances are a part of the mean, because a stream lasts longer than
 * either. The fit is by least squares over samples whose weight decays by [DECAY] with each new one.
 */
public class EventTimeModel {
    private class Fit(val baseMs: Double, val slopeMs: Double)

    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXx = 0.0
    private var sumXy = 0.0

    @Volatile
    private var fit: Fit? = null

    /** Predicts the time between two events at [loadShare] of the slots; null before there are enough samples. */
    public fun predictMs(loadShare: Double): Double? =
        fit?.let { it.baseMs + it.slopeMs * loadShare.coerceIn(0.0, 1.0) }

    /** Records [msPerEvent] of a stream on a server that had [loadShare] of its slots in use. */
    @Synchronized
    public fun record(loadShare: Double, msPerEvent: Double) {
        if (!msPerEvent.isFinite() || msPerEvent < 0) return
        val share = loadShare.coerceIn(0.0, 1.0)
        weight = weight * DECAY + 1
        sumX = sumX * DECAY + share
        sumY = sumY * DECAY + msPerEvent
        sumXx = sumXx * DECAY + share * share
        sumXy = sumXy * DECAY + share * msPerEvent
        if (weight < MIN_WEIGHT) return
        val spread = sumXx - sumX * sumX / weight
        val slope = if (spread > MIN_VARIANCE * weight) (sumXy - sumX * sumY / weight) / spread else 0.0
        val meanMs = sumY / weight
        // A larger batch is never faster, and the time of an empty one is not negative.
        val slopeMs = slope.coerceIn(0.0, meanMs * weight / maxOf(sumX, MIN_SHARE))
        fit = Fit(meanMs - slopeMs * sumX / weight, slopeMs)
    }

    private companion object {
        /** Half of the weight is on the last 70 samples, about half a minute of one host. */
        const val DECAY = 0.99
        const val MIN_WEIGHT = 8.0

        /** Variance of the load share below which the slope cannot be distinguished from noise. */
        const val MIN_VARIANCE = 0.01
        const val MIN_SHARE = 1e-6
    }
}

/** Tracks the ratio of measured to predicted time per event of one server; the excess over 1 halves every 10 s. */
public class EventSpeed {
    private class State(val ratio: Double, val atMs: Long)

    private val halfLife = HalfLife(HALF_LIFE_MS)
    private val state = AtomicReference(State(1.0, 0))

    /** Returns the expected ratio at [nowMs]. */
    public fun ratio(nowMs: Long): Double = state.get().let { 1.0 + (it.ratio - 1.0) * halfLife.weight(it.atMs, nowMs) }

    /** Records the [ratio] of the measured to the predicted time of a stream that ended at [nowMs]. */
    public fun record(ratio: Double, nowMs: Long) {
        if (!ratio.isFinite()) return
        val bounded = ratio.coerceIn(MIN_RATIO, MAX_RATIO)
        state.set(State(ratio(nowMs) * (1 - WEIGHT) + bounded * WEIGHT, nowMs))
    }

    private companion object {
        const val HALF_LIFE_MS = 10_000.0
        const val WEIGHT = 0.1

        /** The speeds of the servers of one deployment are 0.55 to 1.2 times the mean. */
        const val MIN_RATIO = 0.4
        const val MAX_RATIO = 3.0
    }
}
