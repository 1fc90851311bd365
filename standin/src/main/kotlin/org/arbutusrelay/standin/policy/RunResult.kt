package org.arbutusrelay.standin.policy

import org.HdrHistogram.Histogram

/** Results of one simulated run. */
internal class RunResult {
    /** Durations from the scheduled arrival to the complete response, in milliseconds. */
    val responseTimesMs = Histogram(MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    var arrivals = 0L
    var onTime = 0L
    var late = 0L
    var refused = 0L
    var lost = 0L
    var forwarded = 0L
    var decided = 0L
    var cachedTokens = 0L
    var sharedTokens = 0L

    /** Cost of the busy slots, in millionths. */
    var costMicros = 0.0

    /** Share of the arrivals that the capacity with warm caches can serve. */
    var servableShare = 1.0

    fun onTimeShare(): Double = onTime.toDouble() / arrivals

    fun onTimeShareOfServable(): Double = onTimeShare() / servableShare

    fun forwardedShare(): Double = forwarded.toDouble() / arrivals

    fun cacheHitShare(): Double = cachedTokens.toDouble() / maxOf(1L, sharedTokens)

    fun costPerOnTimeResponse(): Double = costMicros / maxOf(1L, onTime)

    fun percentile(percent: Double): Double = responseTimesMs.getValueAtPercentile(percent).toDouble()

    private companion object {
        private const val MAX_RECORDED_MS = 3_600_000L
        private const val SIGNIFICANT_DIGITS = 3
    }
}
