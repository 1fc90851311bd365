package org.arbutusrelay.standin.policy

/** A failure scenario; hours are hours of the simulated day. */
internal enum class Scenario(val title: String) {
    STEADY("steady"),
    REGION_LOST("first region lost 8 to 10 h, returns cold"),
    SLOW_SERVER("one engine slowed tenfold from 6 h"),
    LATE_REPORTS("load reports 2 s late"),
    PARTITION("regions partitioned 8 to 12 h"),
    ;

    /** Delay of a load report, in milliseconds. */
    val reportDelayMs: Double
        get() = if (this == LATE_REPORTS) LATE_REPORT_DELAY_MS else DEFAULT_REPORT_DELAY_MS

    /** Schedules the failures of this scenario on [clock]. */
    fun schedule(model: PolicyModel, clock: VirtualClock, hourMs: Long) {
        when (this) {
            STEADY, LATE_REPORTS -> Unit

            SLOW_SERVER -> clock.schedule(SLOWDOWN_HOUR * hourMs) {
                model.regions[0].engines[0].slowdownFactor = SLOWDOWN_FACTOR
            }

            REGION_LOST -> {
                clock.schedule(FAILURE_HOUR * hourMs) { model.regions[0].fail() }
                clock.schedule(RESTART_HOUR * hourMs) { model.regions[0].restart() }
            }

            PARTITION -> {
                clock.schedule(FAILURE_HOUR * hourMs) { model.isPartitioned = true }
                clock.schedule(HEAL_HOUR * hourMs) { model.isPartitioned = false }
            }
        }
    }

    private companion object {
        private const val DEFAULT_REPORT_DELAY_MS = 150.0
        private const val LATE_REPORT_DELAY_MS = 2_000.0
        private const val SLOWDOWN_HOUR = 6.0
        private const val SLOWDOWN_FACTOR = 10.0
        private const val FAILURE_HOUR = 8.0
        private const val RESTART_HOUR = 10.0
        private const val HEAL_HOUR = 12.0
    }
}
