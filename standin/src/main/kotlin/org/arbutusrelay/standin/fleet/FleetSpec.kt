package org.arbutusrelay.standin.fleet

/** A kind of streamed request of the model. */
internal data class FleetKind(
    val name: String,
    val priority: Int,
    /** Arrivals in a second, over all hosts of a region with the weight 1. */
    val perSecond: Double,
    /** Number of different shared prefixes. */
    val prefixes: Int,
    val sharedTokens: Int,
    /** Mean of the tokens that belong to the request alone; their logarithm has a standard deviation of 1. */
    val ownTokens: Int,
    /** Mean of the response tokens, whose logarithm has a standard deviation of [responseSpread]. */
    val responseTokens: Int,
    val responseSpread: Double,
    val targetMs: Long,
    val deadlineMs: Long,
    /** Target for the longest pause between two events; 0 when there is none. */
    val targetPauseMs: Long = 0,
    /** Standard deviation of the logarithm of the own tokens. */
    val ownSpread: Double = 1.0,
)

/** Size of a modelled region and its share of the load. */
internal data class FleetRegion(val name: String, val hosts: Int, val engines: Int, val weight: Double)

/** Sizes and load of a modelled site. */
internal data class FleetSpec(
    val regions: List<FleetRegion>,
    val kinds: List<FleetKind>,
    val durationMs: Double = 20_000.0,
    /** Requests that arrive before this time only warm the caches and are not counted. */
    val warmUpMs: Double = 5_000.0,
    /** Interval at which hosts report observed loads, and at which all hosts receive them. */
    val reportIntervalMs: Double = 1_000.0,
    val linkDelayMs: Long = 55,
    val engine: BatchingEngineSpec = BatchingEngineSpec(),
    /** How the engines shed load, or null if they do not. */
    val shedding: SheddingSpec? = null,
    /** True when the hosts know the target for pauses and so separate long from short prompts. */
    val separatesLongPrompts: Boolean = false,
    val canImportCache: Boolean = true,
) {
    companion object {
        const val LONG: String = "long"
        const val SHORT: String = "short"
        const val PEAK_REGION: String = "hue"
        const val CALM_REGION: String = "danang"
        private const val SMALL_REGION = "quangtri"
        private const val PEAK_ENGINES = 24
        private const val CALM_ENGINES = 18
        private const val SMALL_ENGINES = 12

        /** Share of the load of the region at its peak that each of the others gets. */
        private const val CALM_WEIGHT = 0.06
        private const val PERMILLE = 1_000.0
        private const val MS_PER_SECOND = 1_000

        /** Long prompts, whose prefill holds up a server; half as many as short ones, which are more urgent. */
        private val longKind =
            FleetKind(LONG, 1, 1.0, 400, 4_000, 3_000, 50, responseSpread = 1.0, targetMs = 800, deadlineMs = 4_000)
        private val shortKind =
            FleetKind(SHORT, 0, 2.0, 1_200, 200, 600, 300, responseSpread = 0.7, targetMs = 600, deadlineMs = 10_000)

        /**
         * Returns a site with a region at its peak and two calm ones, with [hosts] entry hosts in each.
         *
         * At a load of 1,000, the prefill of the requests' own tokens alone takes all the time of the engines there.
         */
        fun unevenPeak(hosts: Int, loadPermille: Int): FleetSpec {
            val regions = listOf(
                FleetRegion(PEAK_REGION, hosts, PEAK_ENGINES, 1.0),
                FleetRegion(CALM_REGION, hosts, CALM_ENGINES, CALM_WEIGHT),
                FleetRegion(SMALL_REGION, hosts, SMALL_ENGINES, CALM_WEIGHT),
            )
            val kinds = listOf(longKind, shortKind)
            val tokensPerUnit = kinds.sumOf { it.perSecond * it.ownTokens }
            val tokensPerSecond = PEAK_ENGINES * BatchingEngineSpec().prefillTokensPerMs * MS_PER_SECOND
            val units = tokensPerSecond / tokensPerUnit * loadPermille / PERMILLE
            return FleetSpec(regions, kinds.map { it.copy(perSecond = it.perSecond * units) })
        }
    }
}
