package org.arbutusrelay.core.manifest

import org.arbutusrelay.schema.manifest.WaitSpan
import java.time.Instant
import java.time.ZoneId

/** The wait of a request kind for each hour of the day, in the time zone of the service. */
public class WaitTable private constructor(private val zone: ZoneId, private val waitMsByHour: LongArray) {
    /** Returns the wait that applies at [instant], in milliseconds. */
    public fun waitMs(instant: Instant): Long = waitMsByHour[instant.atZone(zone).hour]

    public companion object {
        /**
         * Builds the table from [spans].
         *
         * Throws [IllegalArgumentException] unless the spans cover each hour exactly once; [ManifestValidator] reports
         * this as an error of the manifest beforehand.
         */
        public fun of(zone: ZoneId, spans: List<WaitSpan>): WaitTable {
            require(coverageError(spans) == null) { coverageError(spans).orEmpty() }
            val waits = LongArray(HOURS_PER_DAY)
            spans.forEach { span -> waits.fill(span.waitMs, span.fromHour, span.toHour) }
            return WaitTable(zone, waits)
        }

        /** Returns an error message when [spans] do not cover each hour of the day exactly once, otherwise null. */
        public fun coverageError(spans: List<WaitSpan>): String? {
            val counts = IntArray(HOURS_PER_DAY)
            for (span in spans) for (hour in span.fromHour until span.toHour) counts[hour]++
            val missing = counts.indices.filter { counts[it] == 0 }
            val repeated = counts.indices.filter { counts[it] > 1 }
            return when {
                spans.any { it.fromHour >= it.toHour } -> "a span must end after it begins"
                missing.isNotEmpty() -> "no wait for the hours ${missing.joinToString()}"
                repeated.isNotEmpty() -> "more than one wait for the hours ${repeated.joinToString()}"
                else -> null
            }
        }

        private const val HOURS_PER_DAY = 24
    }
}
