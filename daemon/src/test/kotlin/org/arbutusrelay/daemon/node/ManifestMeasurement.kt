package org.arbutusrelay.daemon.node

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.arbutusrelay.core.manifest.ManifestText
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.schema.message.ManifestDelta
import org.arbutusrelay.schema.message.ManifestRecord
import kotlin.test.Test

/**
 * Measures the cost of one manifest change on a daemon by number of callers; run by `bin/measure-manifest`, not by the
 * build.
 */
class ManifestMeasurement {
    private val parser = TomlManifestParser()

    @Test
    fun measure() {
        println("processors visible to the JVM ${Runtime.getRuntime().availableProcessors()}, one thread, $RUNS runs")
        listOf(250, 500, 1_000, 2_000, 4_000).forEach { callers ->
            repeat(WARM_UP_RUNS) { change(callers, it + 1L) }
            report(callers, List(RUNS) { change(callers, it + 1L) })
        }
    }

    private fun report(callers: Int, samples: List<Change>) {
        fun column(value: (Change) -> Long): String {
            val sorted = samples.map(value).sorted()
            return "${sorted[RUNS / 2]} (${sorted.first()} to ${sorted.last()})"
        }
        println(
            "| $callers | ${column {
                it.differenceMicros
            }} | ${column { it.applyMicros }} | ${column { it.parseMicros }} " +
                "| ${column { it.deltaBytes }} | ${column { it.textBytes }} | ${memoryBytes(callers)} |",
        )
    }

    private class Change(
        val differenceMicros: Long,
        val applyMicros: Long,
        val parseMicros: Long,
        val deltaBytes: Long,
        val textBytes: Long,
    )

    /** Changes the rate limit of the caller in the middle of the manifest. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun change(callers: Int, number: Long): Change {
        val base = record(manifest(callers, number, 100))
        val next = record(manifest(callers, number + 1, 101))
        val (delta, differenceMicros) = timed { ManifestText.difference(base, next) }
        val (applied, applyMicros) = timed { ManifestText.apply(base, delta) }
        check(applied?.digest == next.digest) { "applying the delta does not produce the next manifest" }
        val (view, parseMicros) = timed { parser.parse(next.text).getOrNull()?.let { ManifestView(it, next.digest) } }
        checkNotNull(view) { "the manifest is not valid" }
        val deltaBytes = Cbor.encodeToByteArray(ManifestDelta.serializer(), delta).size
        return Change(differenceMicros, applyMicros, parseMicros, deltaBytes.toLong(), next.text.length.toLong())
    }

    private fun <T> timed(action: () -> T): Pair<T, Long> {
        val startNanos = System.nanoTime()
        val result = action()
        return result to (System.nanoTime() - startNanos) / NANOS_PER_MICRO
    }

    /** Returns the heap size of a manifest in force: its text and its view. */
    private fun memoryBytes(callers: Int): Long {
        val before = usedBytes()
        val text = manifest(callers, 1, 100)
        val retained = text to parser.parse(text).getOrNull()?.let { ManifestView(it, "") }
        val bytes = usedBytes() - before
        checkNotNull(retained.second) { "the manifest is not valid" }
        return bytes
    }

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }

    private fun record(text: String) = ManifestRecord(1, ManifestText.digest(text), text)

    private fun manifest(callers: Int, number: Long, changedRate: Int): String = buildString {
        val regions = List(REGIONS) { "region-$it" }
        append("number = $number\n")
        regions.forEach {
            append("[[regions]]\nname = \"$it\"\navailabilityZones = [\"$it-a\", \"$it-b\", \"$it-c\"]\n")
        }
        repeat(MODELS) { model ->
            append("[[services]]\nname = \"model-$model\"\ntype = \"engine\"\ntimeZone = \"UTC\"\n")
            append("regions = [${regions.joinToString { "\"$it\"" }}]\n")
            append("[[services.kinds]]\nname = \"draft\"\nisIdempotent = true\n")
            append("waits = [{ fromHour = 0, toHour = 24, waitMs = 60000 }]\n")
        }
        repeat(callers) { caller ->
            val rate = if (caller == callers / 2) changedRate else 50
            append("[[callers]]\nname = \"caller-$caller\"\nhomeRegion = \"region-${caller % REGIONS}\"\n")
            append("tokenSha256 = [\"%064x\"]\nrequestsPerSecond = $rate\n".format(caller))
        }
    }

    private companion object {
        private const val RUNS = 9
        private const val WARM_UP_RUNS = 5
        private const val REGIONS = 12
        private const val MODELS = 4
        private const val NANOS_PER_MICRO = 1_000L
    }
}
