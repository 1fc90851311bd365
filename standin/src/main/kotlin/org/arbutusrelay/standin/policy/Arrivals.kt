package org.arbutusrelay.standin.policy

import kotlin.math.ln
import kotlin.random.Random

/** One intended arrival; all policies of a run get the same arrivals. */
internal class Arrival(
    val number: Long,
    val atMs: Double,
    val region: Int,
    val caller: Int,
    val isBound: Boolean,
    val kind: KindSpec,
    val waitMs: Long,
    val responseTokens: Int,
    val hashes: List<Long>,
)

/** Draws open-loop arrivals: a Poisson process whose rate follows the hours of each region. */
internal class Arrivals(private val workload: Workload, private val seed: Long) {
    private val random = Random(seed)

    /** Returns the arrivals of a day at [loadPermille] of the capacity with warm caches, in order of time. */
    fun draw(loadPermille: Int): List<Arrival> {
        val all = workload.regions.indices.flatMap { region -> drawRegion(region, loadPermille) }.sortedBy { it.atMs }
        return all
    }

    private fun drawRegion(region: Int, loadPermille: Int): List<Arrival> {
        val spec = workload.regions[region]
        val meanPerMs = workload.capacityPerSecond(spec) * loadPermille / Workload.PERMILLE / Workload.MS_PER_SECOND
        val peakPerMs = meanPerMs * (workload.peakPermille / Workload.PERMILLE)
        val endMs = (Workload.HOURS * workload.hourMs).toDouble()
        val arrivals = ArrayList<Arrival>()
        var atMs = 0.0
        while (true) {
            atMs -= ln(1 - random.nextDouble()) / peakPerMs
            if (atMs >= endMs) return arrivals
            val hour = (atMs / workload.hourMs).toInt()
            // Thinning of the peak rate gives the rate of the hour.
            if (random.nextDouble() * peakPerMs < meanPerMs * workload.hourFactor(spec, hour)) {
                arrivals += draw(region, atMs, hour, (region + 1L) * REGION_NUMBERS + arrivals.size)
            }
        }
    }

    private fun draw(region: Int, atMs: Double, hour: Int, number: Long): Arrival {
        val caller = (workload.callers * random.nextDouble() * random.nextDouble()).toInt()
        val kind = drawKind()
        val isBound = caller * BOUND_STEP % Workload.PERMILLE.toInt() < workload.boundPermille
        val tokens = (kind.responseTokens * (LEAST_SHARE + random.nextDouble())).toInt()
        val hashes = hashes(region, caller, kind, number)
        return Arrival(number, atMs, region, caller, isBound, kind, kind.waitMs(hour), tokens, hashes)
    }

    private fun drawKind(): KindSpec {
        var left = random.nextDouble()
        return workload.kinds.firstOrNull { kind ->
            left -= kind.share
            left < 0
        } ?: workload.kinds.last()
    }

    /** Chained block hashes: those of the shared part are equal for a caller and kind, the rest are unique. */
    private fun hashes(region: Int, caller: Int, kind: KindSpec, number: Long): List<Long> {
        val shared = kind.sharedTokens / BLOCK_TOKENS
        var chained = (region * CALLERS + caller).toLong() * HASH_FACTOR + kind.name.hashCode()
        return List(kind.promptTokens / BLOCK_TOKENS) { block ->
            if (block == shared) chained = chained xor (number * HASH_FACTOR)
            chained = (chained + block + 1) * HASH_FACTOR
            chained = chained xor (chained ushr HASH_SHIFT)
            chained
        }
    }

    private companion object {
        private const val BLOCK_TOKENS = 64

        // Coprime to 1000, so that bound callers are spread over popular and rare ones.
        private const val BOUND_STEP = 613
        private const val CALLERS = 100_000
        private const val REGION_NUMBERS = 100_000_000L
        private const val LEAST_SHARE = 0.5
        private const val HASH_FACTOR = -0x61c8864680b583ebL
        private const val HASH_SHIFT = 29
    }
}
