package org.arbutusrelay.standin.policy

import kotlinx.serialization.Serializable
import net.peanuuutz.tomlkt.Toml
import org.arbutusrelay.schema.manifest.WaitSpan
import java.nio.file.Path
import kotlin.io.path.readText

/** A workload of the policy measurement, read from TOML. */
@Serializable
public data class Workload(
    val name: String,
    val service: String,
    /** Virtual duration of one hour of the day, in milliseconds; hours are shortened to keep runs short. */
    val hourMs: Long,
    /** Entry hosts in each region. */
    val hosts: Int,
    /** Callers in each region. */
    val callers: Int,
    /** Share of callers bound to their home region, in thousandths. */
    val boundPermille: Int,
    /** Largest share that may be sent away, in thousandths. */
    val sentAwayPermille: Long,
    /** Load of a region at its peak hour and twelve hours from it, relative to its mean, in thousandths. */
    val peakPermille: Int,
    val link: LinkSpec,
    val engine: EngineSpec,
    val regions: List<RegionSpec>,
    val kinds: List<KindSpec>,
) {
    /** Mean time of a request on a full engine that holds the shared part of each prompt, in milliseconds. */
    val warmMs: Double by lazy { kinds.sumOf { it.share * engine.warmMs(it) } }

    /** Requests a second of [region] at full load with warm caches: an upper bound that no policy can exceed. */
    public fun capacityPerSecond(region: RegionSpec): Double = region.engines * engine.slots * MS_PER_SECOND / warmMs

    /** Mean load factor of [region] at [hour]: 1 on average over the day. */
    public fun hourFactor(region: RegionSpec, hour: Int): Double {
        val angle = 2 * Math.PI * (hour - region.peakHour) / HOURS
        return 1 + (peakPermille / PERMILLE - 1) * Math.cos(angle)
    }

    public companion object {
        internal const val HOURS: Int = 24
        internal const val PERMILLE: Double = 1_000.0
        internal const val MS_PER_SECOND: Double = 1_000.0

        /** Reads a workload; fails with the parser's message when the file does not fit. */
        public fun read(file: Path): Workload = Toml.decodeFromString(serializer(), file.readText())
    }
}

/** The links between regions. */
@Serializable
public data class LinkSpec(val oneWayDelayMs: Long, val capacityBitsPerSecond: Long, val usePermille: Long)

/** One engine. */
@Serializable
public data class EngineSpec(
    /** Requests that it runs at the same time. */
    val slots: Int,
    /** Time to prefill one uncached token, in microseconds; prompts are prefilled one after another. */
    val prefillUs: Double,
    /** Time of one response token of a single stream, in microseconds. */
    val decodeUs: Double,
    /** How much longer a response token takes in a full batch, as a share. */
    val batchSlope: Double,
    /** Blocks of its prefix cache; the least recently used block is evicted. */
    val cacheBlocks: Int,
) {
    internal fun warmMs(kind: KindSpec): Double =
        (prefillUs * (kind.promptTokens - kind.sharedTokens) + decodeUs * kind.responseTokens * (1 + batchSlope)) /
            Workload.MS_PER_SECOND
}

/** One region. */
@Serializable
public data class RegionSpec(
    val name: String,
    val engines: Int,
    /** Hour of the day with the most arrivals. */
    val peakHour: Int,
    /** Cost of one second of one slot, in millionths. */
    val costMicros: Long,
)

/** One kind of request. */
@Serializable
public data class KindSpec(
    val name: String,
    /** Share of the arrivals. */
    val share: Double,
    val isIdempotent: Boolean,
    val priority: Int,
    val promptTokens: Int,
    /** Leading tokens of the prompt that other requests of the caller share. */
    val sharedTokens: Int,
    /** Mean length of the response. */
    val responseTokens: Int,
    val waits: List<WaitSpan>,
) {
    /** Returns the wait at [hour], in milliseconds. */
    public fun waitMs(hour: Int): Long = waits.first { hour in it.fromHour until it.toHour }.waitMs
}
