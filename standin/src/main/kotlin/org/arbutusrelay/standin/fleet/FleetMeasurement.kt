package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.routing.FirstByteServerSelector
import org.arbutusrelay.core.routing.ServerPool
import org.arbutusrelay.core.routing.ServerSelector
import java.util.Random

/** Compares placement policies of a region whose engines are shared by few and by many entry hosts. */
public object FleetMeasurement {
    private val policies: Map<String, () -> ServerSelector> = mapOf(
        "first byte" to { FirstByteServerSelector() },
        "random" to ::randomSelector,
        "least load" to { ServerSelector { _, servers, nowMs -> available(servers, nowMs).minByOrNull { it.load() } } },
    )

    private fun randomSelector(): ServerSelector {
        val random = Random(1)
        return ServerSelector { _, servers, nowMs ->
            available(servers, nowMs).let { if (it.isEmpty()) null else it[random.nextInt(it.size)] }
        }
    }

    private fun available(servers: ServerPool, nowMs: Long) = servers.slots.filter { it.hasRoom(nowMs) }

    /** Prints one row for each policy, number of hosts and load, as means over [seeds] seeds. */
    public fun run(seeds: Int, loadsPermille: List<Int>, hostCounts: List<Int>) {
        println(HEADER)
        for (load in loadsPermille) {
            for (hosts in hostCounts) {
                for ((title, selector) in policies) {
                    val runs = (1L..seeds).toList().parallelStream()
                        .map { seed -> FleetModel(FleetSpec.unevenPeak(hosts, load), selector, seed).run() }.toList()
                    println(row(hosts, load, title, runs))
                }
            }
        }
    }

    private fun row(hosts: Int, load: Int, title: String, runs: List<FleetModel>): String {
        fun percent(value: (FleetModel) -> Double) = "%.1f".format(runs.map(value).average() * PERCENT)
        fun share(kind: String, count: (FleetTally) -> Int) =
            percent { run -> run.tallies.getValue(kind).let { it.share(count(it)) } }
        fun busy(region: String) =
            percent { run -> run.engines.getValue(region).map { it.busyMs }.average() / run.spec.durationMs }
        val recomputed = runs.map { run ->
            run.engines.values.flatten().sumOf { it.recomputedTokens }.toDouble() /
                run.tallies.getValue(FleetSpec.LONG).arrivals
        }
        val kinds = listOf(FleetSpec.LONG, FleetSpec.SHORT).flatMap { kind ->
            listOf(
                share(kind) { it.inTime },
                share(kind) { it.served },
                share(kind) { it.refused },
                share(kind) { it.forwarded },
            )
        }
        val cells = listOf("$hosts", "${load / PERMILLE_PER_PERCENT}%", title) + kinds +
            listOf(busy(FleetSpec.PEAK_REGION), busy(FleetSpec.CALM_REGION), "%.0f".format(recomputed.average()))
        return cells.joinToString(" | ", "| ", " |")
    }

    private const val PERCENT = 100
    private const val PERMILLE_PER_PERCENT = 10

    private const val HEADER = "| hosts | load | policy | long in time % | served % | refused % | forwarded % " +
        "| short in time % | served % | refused % | forwarded % | busy % | busy in the calm region % " +
        "| recomputed tokens a long request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
}

/** Runs the measurement; arguments: seeds, loads in thousandths, numbers of hosts a region, lists with commas. */
public fun main(args: Array<String>) {
    require(args.size == 3) { "usage: SEEDS LOAD,... HOSTS,..." }
    val (loads, hosts) = args.drop(1).map { list -> list.split(',').map(String::toInt) }
    FleetMeasurement.run(args[0].toInt(), loads, hosts)
}
