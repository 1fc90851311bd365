package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.routing.FirstByteServerSelector

/** Compares hosts that observe the pauses that engines ask for with hosts that do not, under the same arrivals. */
public object PauseMeasurement {
    /** Prints one row for each load, number of hosts and way, as means over [seeds] seeds. */
    public fun run(seeds: Int, loadsPermille: List<Int>, hostCounts: List<Int>) {
        println(HEADER)
        for (load in loadsPermille) {
            for (hosts in hostCounts) {
                for (shedding in WAYS) {
                    val spec = FleetSpec.unevenPeak(hosts, load).copy(shedding = shedding.spec)
                    val runs = (1L..seeds).toList().parallelStream()
                        .map { seed -> FleetModel(spec, { FirstByteServerSelector() }, seed).run() }.toList()
                    println(row(load, hosts, shedding.title, runs))
                }
            }
        }
    }

    private fun row(load: Int, hosts: Int, title: String, runs: List<FleetModel>): String {
        fun mean(value: (FleetModel) -> Double) = "%.1f".format(runs.map(value).average())
        fun percent(count: (FleetTally) -> Int) = mean { run ->
            val tallies = run.tallies.values
            PERCENT * tallies.sumOf(count).toDouble() / tallies.sumOf { it.arrivals }
        }
        fun perThousand(count: (EngineShedding) -> Int) = mean { run ->
            PERMILLE * (run.shedding?.let(count) ?: 0) / run.tallies.values.sumOf { it.arrivals }
        }
        val cells = listOf(
            "${load / PERMILLE_PER_PERCENT}%", "$hosts", title,
            percent { it.inTime }, percent { it.served - it.inTime }, percent { it.refused },
            percent { it.arrivals - it.served - it.refused },
            perThousand { it.sentInPause }, perThousand { it.sentLateInPause },
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private class Way(val title: String, val spec: SheddingSpec?)

    private val WAYS = listOf(
        Way("no shedding", null),
        Way("pauses ignored", SheddingSpec(isPauseObserved = false)),
        Way("pauses observed", SheddingSpec()),
    )
    private const val PERCENT = 100
    private const val PERMILLE = 1_000.0
    private const val PERMILLE_PER_PERCENT = 10
    private const val HEADER = "| load | hosts | way | in time % | late % | refused % | left % " +
        "| sent in a pause, per 1000 requests | of these after 0.5 s |\n|---|---|---|---|---|---|---|---|---|"
}

/** Runs the measurement; arguments: seeds, loads in thousandths, numbers of hosts a region, lists with commas. */
public fun main(args: Array<String>) {
    require(args.size == 3) { "usage: SEEDS LOAD,... HOSTS,..." }
    val (loads, hosts) = args.drop(1).map { list -> list.split(',').map(String::toInt) }
    PauseMeasurement.run(args[0].toInt(), loads, hosts)
}
