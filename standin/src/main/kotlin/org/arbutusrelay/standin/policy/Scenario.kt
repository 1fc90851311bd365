package org.arbutusrelay.standin.policy

/** What goes wrong in a run; hours are those of the day. */
internal enum class Scenario(val title: String) {
    STEADY("steady"),
    REGION_LOST("first region lost 8 to 10 h, returns cold"),
    SLOW_SERVER("one engine slowed tenfold from 6 h"),
    LATE_REPORTS("load reports 2 s late"),
    PARTITION("regions partitioned 8 to 12 h"),
    ;

    /** Delay of a load report, in milliseconds. */
    val reportDelayMs: Double
        get() = if (this == LATE_REPORTS) LATE_MS else USUAL_MS

    /** Schedules what goes wrong. */
    fun schedule(model: PolicyModel, clock: VirtualClock, hourMs: Long) {
        when (this) {
            STEADY, LATE_REPORTS -> Unit

            SLOW_SERVER -> clock.at(SLOW_HOUR * hourMs) { model.regions[0].engines[0].slowFactor = SLOW_FACTOR }

            REGION_LOST -> {
                clock.at(FIRST_HOUR * hourMs) { model.regions[0].fail() }
                clock.at(RETURN_HOUR * hourMs) { model.regions[0].restart() }
            }

            PARTITION -> {
                clock.at(FIRST_HOUR * hourMs) { model.isPartitioned = true }
                clock.at(HEAL_HOUR * hourMs) { model.isPartitioned = false }
            }
        }
    }

    private companion object {
        private const val USUAL_MS = 150.0
        private const val LATE_MS = 2_000.0
        private const val SLOW_HOUR = 6.0
        private const val SLOW_FACTOR = 10.0
        private const val FIRST_HOUR = 8.0
        private const val RETURN_HOUR = 10.0
        private const val HEAL_HOUR = 12.0
    }
}
