package org.arbutusrelay.core.routing

/**
 * Tracks how long work currently takes on one backend server, as a factor of its usual time.
 *
 * Answers machines that are shared with other work: about 15 % of the time, work takes 2.5 times as long, for about
 * [DISTURBANCE_MS] at a time. A reported factor approaches 1 in that time, which is the probability that a disturbance
 * seen at a random moment still lasts. A newer report replaces it at once.
 */
public class CurrentSpeed {
    private class Report(val factor: Double, val atMs: Long)

    @Volatile
    private var report: Report? = null

    /** True once the server has reported its current speed, as servers do that share their machines. */
    @Volatile
    public var isReported: Boolean = false
        private set

    /** Records that work takes [workPercent] percent of its usual time at [nowMs]. */
    public fun record(workPercent: Long, nowMs: Long) {
        isReported = true
        val factor = (workPercent / PERCENT).coerceIn(MIN_FACTOR, MAX_FACTOR)
        report = if (factor == USUAL) null else Report(factor, nowMs)
    }

    /** Returns the expected factor at [nowMs]; 1 is the usual speed. */
    public fun factor(nowMs: Long): Double {
        val latest = report ?: return USUAL
        val ageMs = maxOf(0, nowMs - latest.atMs)
        if (ageMs >= DISTURBANCE_MS) return USUAL
        return USUAL + (latest.factor - USUAL) * (DISTURBANCE_MS - ageMs) / DISTURBANCE_MS
    }

    public companion object {
        /** Percentage that a server reports at its usual speed. */
        public const val USUAL_PERCENT: Long = 100
        internal const val USUAL = 1.0
        private const val PERCENT = 100.0

        /** Observed duration of a disturbance. */
        private const val DISTURBANCE_MS = 600L

        /** Observed factors are up to 2.5; a report beyond these limits must not exclude or attract all requests. */
        private const val MIN_FACTOR = 0.5
        private const val MAX_FACTOR = 10.0
        private const val STEADY_RATIO = 1.25

        /**
         * Returns the factor by which a measured time is divided before it enters the long-term models, or null if the
         * sample is left out because the speed changed while it was measured.
         */
        internal fun correction(atStart: Double, atEnd: Double): Double? {
            val isSteady = maxOf(atStart, atEnd) <= minOf(atStart, atEnd) * STEADY_RATIO
            return if (isSteady) (atStart + atEnd) / 2 else null
        }
    }
}
