package org.arbutusrelay.standin.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Results and latencies of a run; thread-safe. */
public class LoadReport {
    private val classReports = ConcurrentHashMap<String, ClassReport>()

    /** Records the [result] of a request of [className], [latencyMicros] after its scheduled arrival. */
    public fun record(className: String, result: LoadResult, latencyMicros: Long) {
        classReports.computeIfAbsent(className) { ClassReport() }.record(result, latencyMicros)
    }

    /** Returns the number of requests with [result] in all classes. */
    public fun total(result: LoadResult): Long = classReports.values.sumOf { it.count(result) }

    /** Returns the number of recorded requests. */
    public fun total(): Long = LoadResult.entries.sumOf(::total)

    /** Returns the counts of all results on one line. */
    public fun summary(): String = "requests=${total()} " +
        LoadResult.entries.joinToString(" ") { "${it.name.lowercase()}=${total(it)}" }

    /** Returns a table with one row per class. */
    public fun table(): String = buildString {
        appendLine("class requests complete% p50_ms p99_ms p99.9_ms " + RESULT_NAMES)
        classReports.toSortedMap().forEach { (name, report) -> appendLine(report.tableRow(name)) }
    }

    /** Returns the report as JSON for use by scripts. */
    public fun json(): String = classReports.toSortedMap().entries.joinToString(
        ",",
        """{"classes":[""",
        "]}",
    ) { (name, report) ->
        report.json(name)
    }

    private class ClassReport {
        private val counts = LoadResult.entries.associateWith { AtomicLong() }
        private val latencyMicros = ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)

        fun record(result: LoadResult, micros: Long) {
            counts.getValue(result).incrementAndGet()
            latencyMicros.recordValue(micros.coerceIn(0, MAX_RECORDED_MICROS))
        }

        fun count(result: LoadResult): Long = counts.getValue(result).get()

        fun tableRow(name: String): String =
            "$name ${total()} ${completePercent()} ${percentileMs(50.0)} ${percentileMs(99.0)} ${percentileMs(99.9)} " +
                LoadResult.entries.joinToString(" ") { count(it).toString() }

        fun json(name: String): String =
            """{"name":"$name","requests":${total()},"completePercent":${completePercent()},""" +
                """"p50Ms":${percentileMs(50.0)},"p99Ms":${percentileMs(99.0)},"p999Ms":${percentileMs(99.9)},""" +
                LoadResult.entries.joinToString(",") { """"${it.name.lowercase()}":${count(it)}""" } + "}"

        private fun total(): Long = LoadResult.entries.sumOf(::count)

        private fun completePercent(): String =
            "%.2f".format(100.0 * count(LoadResult.COMPLETE) / total().coerceAtLeast(1))

        private fun percentileMs(percentile: Double): String =
            "%.1f".format(latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MS)
    }

    private companion object {
        private val RESULT_NAMES = LoadResult.entries.joinToString(" ") { it.name.lowercase() }
        private const val MAX_RECORDED_MICROS = 3_600_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val MICROS_PER_MS = 1_000.0
    }
}
