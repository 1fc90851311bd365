package org.arbutusrelay.standin.policy

import kotlin.math.ln
import kotlin.random.Random

/** A scheduled request arrival; all policies are measured with the same arrivals. */
internal class Arrival(
    val number: Long,
    val atMs: Double,
    val region: Int,
    val caller: Int,
    val isBoundToHome: Boolean,
    val kind: KindSpec,
    val waitMs: Long,
    val responseTokens: Int,
    val hashes: List<Long>,
)

/** Generates open-loop arrivals: a Poisson process per region whose rate varies with the hour of the day. */
internal class ArrivalGenerator(private val workload: Workload, private val seed: Long) {
    private val random = Random(seed)

    /** Returns one day of arrivals at [loadPermille] of the capacity with warm caches, ordered by time. */
    fun generate(loadPermille: Int): List<Arrival> {
        val arrivals =
            workload.regions.indices.flatMap { region -> generateRegion(region, loadPermille) }.sortedBy { it.atMs }
        return arrivals
    }

    private fun generateRegion(region: Int, loadPermille: Int): List<Arrival> {
        val spec = workload.regions[region]
        val meanRatePerMs = workload.capacityPerSecond(spec) * loadPermille / Workload.PERMILLE / Workload.MS_PER_SECOND
        val peakRatePerMs = meanRatePerMs * (workload.peakPermille / Workload.PERMILLE)
        val endMs = (Workload.HOURS_PER_DAY * workload.hourMs).toDouble()
        val arrivals = ArrayList<Arrival>()
        var atMs = 0.0
        while (true) {
            atMs -= ln(1 - random.nextDouble()) / peakRatePerMs
            if (atMs >= endMs) return arrivals
            val hour = (atMs / workload.hourMs).toInt()
            // Thinning: keeps a fraction of the arrivals at the peak rate to obtain the rate of this hour.
            if (random.nextDouble() * peakRatePerMs < meanRatePerMs * workload.hourFactor(spec, hour)) {
                arrivals += generate(region, atMs, hour, (region + 1L) * ARRIVAL_NUMBER_STRIDE + arrivals.size)
            }
        }
    }

    private fun generate(region: Int, atMs: Double, hour: Int, number: Long): Arrival {
        val caller = (workload.callers * random.nextDouble() * random.nextDouble()).toInt()
        val kind = sampleKind()
        val isBoundToHome = caller * BOUND_CALLER_STRIDE % Workload.PERMILLE.toInt() < workload.boundPermille
        val tokens = (kind.responseTokens * (MIN_RESPONSE_LENGTH_FACTOR + random.nextDouble())).toInt()
        val hashes = hashes(region, caller, kind, number)
        return Arrival(number, atMs, region, caller, isBoundToHome, kind, kind.waitMs(hour), tokens, hashes)
    }

    private fun sampleKind(): KindSpec {
        var remaining = random.nextDouble()
        return workload.kinds.firstOrNull { kind ->
            remaining -= kind.share
            remaining < 0
        } ?: workload.kinds.last()
    }

    /** Returns chained block hashes; blocks of the shared prefix are equal per caller and kind, the rest unique. */
    private fun hashes(region: Int, caller: Int, kind: KindSpec, number: Long): List<Long> {
        val sharedBlocks = kind.sharedTokens / BLOCK_TOKENS
        var hash = (region * CALLER_ID_STRIDE + caller).toLong() * HASH_FACTOR + kind.name.hashCode()
        return List(kind.promptTokens / BLOCK_TOKENS) { block ->
            if (block == sharedBlocks) hash = hash xor (number * HASH_FACTOR)
            hash = (hash + block + 1) * HASH_FACTOR
            hash = hash xor (hash ushr HASH_SHIFT)
            hash
        }
    }

    private companion object {
        private const val BLOCK_TOKENS = 64

        // Coprime to 1000, which spreads the bound callers over frequent and rare ones.
        private const val BOUND_CALLER_STRIDE = 613
        private const val CALLER_ID_STRIDE = 100_000
        private const val ARRIVAL_NUMBER_STRIDE = 100_000_000L
        private const val MIN_RESPONSE_LENGTH_FACTOR = 0.5
        private const val HASH_FACTOR = -0x61c8864680b583ebL
        private const val HASH_SHIFT = 29
    }
}
