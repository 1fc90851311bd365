package org.arbutusrelay.standin.policy

import org.HdrHistogram.Histogram

/** Counts of one run. */
internal class RunResult {
    /** Times of complete responses from the intended arrival, in milliseconds. */
    val times = Histogram(HIGHEST_MS, DIGITS)
    var arrivals = 0L
    var inTime = 0L
    var late = 0L
    var refused = 0L
    var lost = 0L
    var sentAway = 0L
    var decided = 0L
    var cachedTokens = 0L
    var sharedTokens = 0L

    /** Cost of the slots used, in millionths. */
    var costMicros = 0.0

    /** Share of the arrivals that the capacity with warm caches allows. */
    var allowedShare = 1.0

    fun inTimeShare(): Double = inTime.toDouble() / arrivals

    fun ofAllowed(): Double = inTimeShare() / allowedShare

    fun sentAwayShare(): Double = sentAway.toDouble() / arrivals

    fun hitShare(): Double = cachedTokens.toDouble() / maxOf(1L, sharedTokens)

    fun costPerAnswer(): Double = costMicros / maxOf(1L, inTime)

    fun percentile(percent: Double): Double = times.getValueAtPercentile(percent).toDouble()

    private companion object {
        private const val HIGHEST_MS = 3_600_000L
        private const val DIGITS = 3
    }
}
