package org.arbutusrelay.standin.load

import org.HdrHistogram.ConcurrentHistogram
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Counts results and latencies of a run; safe to call from several threads. */
public class LoadReport {
    private val classes = ConcurrentHashMap<String, ClassReport>()

    /** Records the end of a request of the class [className], [latencyMicros] after its intended arrival. */
    public fun record(className: String, result: LoadResult, latencyMicros: Long) {
        classes.computeIfAbsent(className) { ClassReport() }.record(result, latencyMicros)
    }

    /** Returns the sum of [result] over all classes. */
    public fun total(result: LoadResult): Long = classes.values.sumOf { it.count(result) }

    /** Returns the number of recorded requests. */
    public fun total(): Long = LoadResult.entries.sumOf(::total)

    /** Returns one line with the counts of all results. */
    public fun summary(): String = "requests=${total()} " +
        LoadResult.entries.joinToString(" ") { "${it.name.lowercase()}=${total(it)}" }

    /** Returns a table with one line for each class. */
    public fun table(): String = buildString {
        appendLine("class requests complete% p50_ms p99_ms p99.9_ms " + RESULT_NAMES)
        classes.toSortedMap().forEach { (name, report) -> appendLine(report.line(name)) }
    }

    /** Returns the report as JSON, for scripts. */
    public fun json(): String = classes.toSortedMap().entries.joinToString(
        ",",
        """{"classes":[""",
        "]}",
    ) { (name, report) ->
        report.json(name)
    }

    private class ClassReport {
        private val counts = LoadResult.entries.associateWith { AtomicLong() }
        private val latencyMicros = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)

        fun record(result: LoadResult, micros: Long) {
            counts.getValue(result).incrementAndGet()
            latencyMicros.recordValue(micros.coerceIn(0, HIGHEST_MICROS))
        }

        fun count(result: LoadResult): Long = counts.getValue(result).get()

        fun line(name: String): String = "$name ${total()} ${completePercent()} ${ms(50.0)} ${ms(99.0)} ${ms(99.9)} " +
            LoadResult.entries.joinToString(" ") { count(it).toString() }

        fun json(name: String): String =
            """{"name":"$name","requests":${total()},"completePercent":${completePercent()},""" +
                """"p50Ms":${ms(50.0)},"p99Ms":${ms(99.0)},"p999Ms":${ms(99.9)},""" +
                LoadResult.entries.joinToString(",") { """"${it.name.lowercase()}":${count(it)}""" } + "}"

        private fun total(): Long = LoadResult.entries.sumOf(::count)

        private fun completePercent(): String =
            "%.2f".format(100.0 * count(LoadResult.COMPLETE) / total().coerceAtLeast(1))

        private fun ms(percentile: Double): String =
            "%.1f".format(latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MS)
    }

    private companion object {
        private val RESULT_NAMES = LoadResult.entries.joinToString(" ") { it.name.lowercase() }
        private const val HIGHEST_MICROS = 3_600_000_000L
        private const val SIGNIFICANT_DIGITS = 3
        private const val MICROS_PER_MS = 1_000.0
    }
}
