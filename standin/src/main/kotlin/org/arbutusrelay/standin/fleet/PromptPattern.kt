package org.arbutusrelay.standin.fleet

/** Load patterns of long and short prompts; a load of 1,000 is that of a region at its peak. */
internal enum class PromptPattern(
    val title: String,
    private val engine: BatchingEngineSpec,
    private val engines: List<Int>,
    private val long: FleetKind,
    private val short: FleetKind,
) {
    MANY_SLOTS("deployment 2", twoSpeeds, listOf(19, 14, 10), longPrompts2, shortPrompts2),
    FEW_SLOTS("deployment 1", oneSpeed, listOf(28, 21, 14), longPrompts1, shortPrompts1),
    LONG_BURST("long burst", twoSpeeds, listOf(19, 14, 10), longPrompts2.times(2.0), shortPrompts2.times(0.5)),
    SHORT_BURST("short burst", twoSpeeds, listOf(19, 14, 10), longPrompts2.times(0.5), shortPrompts2.times(2.0)),
    ;

    fun spec(hosts: Int, loadPermille: Int): FleetSpec {
        val regions = engines.mapIndexed { index, count ->
            FleetRegion("region-$index", hosts, count, if (index == 0) PEAK_WEIGHT else CALM_WEIGHT)
        }
        val load = loadPermille / PERMILLE
        return FleetSpec(
            regions,
            listOf(long.times(load), short.times(load)),
            durationMs = 30_000.0,
            warmUpMs = 12_000.0,
            engine = engine,
            canImportCache = false,
        )
    }

    private companion object {
        /** Load of a region at its peak and otherwise, as a part of its mean, which is a third of the site's. */
        const val PEAK_WEIGHT = 2.8 / 3
        const val CALM_WEIGHT = 0.17 / 3
        const val PERMILLE = 1_000.0
    }
}

private val oneSpeed = BatchingEngineSpec(
    slots = 32,
    stepMs = 4.84,
    prefillTokensPerMs = 74.8,
    cacheTokens = 200_000,
    tokensPerEvent = 6,
    disturbance = DisturbanceSpec(),
)
private val twoSpeeds = BatchingEngineSpec(
    slots = 64,
    stepMs = 5.47,
    prefillTokensPerMs = 38.7,
    cacheTokens = 150_000,
    tokensPerEvent = 5,
    speeds = listOf(0.55, 1.2, 1.2),
    disturbance = DisturbanceSpec(),
)
private val longPrompts1 =
    FleetKind(FleetSpec.LONG, 2, 172.0, 80, 6_300, 2_890, 54, 0.1, 1_515, 5_050, 300, ownSpread = 0.2)
private val shortPrompts1 =
    FleetKind(FleetSpec.SHORT, 0, 286.0, 300, 198, 628, 294, 0.1, 507, 15_195, 300, ownSpread = 0.2)
private val longPrompts2 =
    FleetKind(FleetSpec.LONG, 2, 74.7, 80, 6_300, 2_890, 50, 0.1, 1_220, 6_101, 600, ownSpread = 0.2)
private val shortPrompts2 =
    FleetKind(FleetSpec.SHORT, 0, 203.0, 300, 198, 628, 290, 0.1, 1_509, 15_087, 600, ownSpread = 0.2)

private fun FleetKind.times(factor: Double) = copy(perSecond = perSecond * factor)
