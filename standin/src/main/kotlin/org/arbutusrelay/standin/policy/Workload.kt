package org.arbutusrelay.standin.policy

import kotlinx.serialization.Serializable
import net.peanuuutz.tomlkt.Toml
import org.arbutusrelay.schema.manifest.WaitSpan
import java.nio.file.Path
import kotlin.io.path.readText

/** Workload of the policy measurement, read from a TOML file. */
@Serializable
public data class Workload(
    val name: String,
    val service: String,
    /** Virtual duration of one hour of the day, in milliseconds; less than an hour keeps runs short. */
    val hourMs: Long,
    /** Number of entry hosts per region. */
    val hosts: Int,
    /** Number of callers per region. */
    val callers: Int,
    /** Share of callers bound to their home region, in thousandths. */
    val boundPermille: Int,
    /** Maximum share of requests that may be forwarded to other regions, in thousandths. */
    val sentAwayPermille: Long,
    /**
     * Arrival rate of a region at its peak hour relative to its daily mean, in thousandths.
     *
     * The rate follows a cosine with its minimum twelve hours from the peak.
     */
    val peakPermille: Int,
    val link: LinkSpec,
    val engine: EngineSpec,
    val regions: List<RegionSpec>,
    val kinds: List<KindSpec>,
) {
    /** Mean slot time of a request on a full engine that has each shared prefix cached, in milliseconds. */
    val warmRequestMs: Double by lazy { kinds.sumOf { it.share * engine.warmRequestMs(it) } }

    /** Returns the requests per second of [region] at full load with warm caches: an upper bound for any policy. */
    public fun capacityPerSecond(region: RegionSpec): Double =
        region.engines * engine.slots * MS_PER_SECOND / warmRequestMs

    /** Returns the arrival rate of [region] at [hour] relative to its daily mean. */
    public fun hourFactor(region: RegionSpec, hour: Int): Double {
        val angle = 2 * Math.PI * (hour - region.peakHour) / HOURS_PER_DAY
        return 1 + (peakPermille / PERMILLE - 1) * Math.cos(angle)
    }

    public companion object {
        internal const val HOURS_PER_DAY: Int = 24
        internal const val PERMILLE: Double = 1_000.0
        internal const val MS_PER_SECOND: Double = 1_000.0

        /** Reads a workload from [file]; throws the exception of the parser when the file is invalid. */
        public fun read(file: Path): Workload = Toml.decodeFromString(serializer(), file.readText())
    }
}

/** Properties of the network links between regions. */
@Serializable
public data class LinkSpec(val oneWayDelayMs: Long, val capacityBitsPerSecond: Long, val usePermille: Long)

/** Speed and limits of an engine. */
@Serializable
public data class EngineSpec(
    /** Maximum number of concurrent requests. */
    val slots: Int,
    /** Time to prefill one uncached token, in microseconds; prompts are prefilled sequentially. */
    val prefillUs: Double,
    /** Time to decode one response token when no other request runs, in microseconds. */
    val decodeUs: Double,
    /** Relative increase of the decode time in a full batch. */
    val batchSlope: Double,
    /** Capacity of the prefix cache, in blocks; the least recently used block is evicted. */
    val cacheBlocks: Int,
) {
    internal fun warmRequestMs(kind: KindSpec): Double =
        (prefillUs * (kind.promptTokens - kind.sharedTokens) + decodeUs * kind.responseTokens * (1 + batchSlope)) /
            Workload.MS_PER_SECOND
}

/** A region of the workload. */
@Serializable
public data class RegionSpec(
    val name: String,
    val engines: Int,
    /** Hour of the day with the highest arrival rate. */
    val peakHour: Int,
    /** Cost per slot second, in millionths. */
    val costMicros: Long,
)

/** A request kind. */
@Serializable
public data class KindSpec(
    val name: String,
    /** Share of the arrivals. */
    val share: Double,
    val isIdempotent: Boolean,
    val priority: Int,
    val promptTokens: Int,
    /** Number of leading prompt tokens shared by all requests of this kind from the same caller. */
    val sharedTokens: Int,
    /** Mean number of response tokens. */
    val responseTokens: Int,
    val waits: List<WaitSpan>,
) {
    /** Returns the maximum wait for a response at [hour], in milliseconds. */
    public fun waitMs(hour: Int): Long = waits.first { hour in it.fromHour until it.toHour }.waitMs
}
