package org.arbutusrelay.standin.policy

import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Compares the routing policy with its baselines and prints one table for each workload. */
public object PolicyMeasurement {
    private class Case(val scenario: Scenario, val loadPermille: Int)

    private val cases = LOADS.map { Case(Scenario.STEADY, it) } +
        Scenario.entries.drop(1).map { Case(it, FAILURE_LOAD) }

    /** Runs each of the TOML [files] with [seeds] seeds, [threads] runs at a time. */
    public fun run(files: List<Path>, seeds: Int, threads: Int) {
        val pool = Executors.newFixedThreadPool(threads)
        try {
            files.forEach { printTable(Workload.read(it), seeds, pool) }
        } finally {
            pool.shutdown()
        }
    }

    private fun printTable(workload: Workload, seeds: Int, pool: ExecutorService) {
        println("\n## ${workload.name}: seeds 1 to $seeds, median (lowest to highest)\n")
        println(HEADER)
        for (case in cases) {
            val tasks = Policy.entries.map { policy ->
                policy to (1L..seeds).map { pool.submit(Callable { runOne(workload, case, policy, it) }) }
            }
            tasks.forEach { (policy, runs) -> println(row(case, policy, runs.map { it.get() })) }
        }
    }

    private fun runOne(workload: Workload, case: Case, policy: Policy, seed: Long): RunResult {
        val arrivals = Arrivals(workload, seed).draw(case.loadPermille)
        val result = PolicyModel(workload, case.scenario, policy, seed).run(arrivals)
        check(result.decided == result.arrivals) { "${result.arrivals - result.decided} requests without a decision" }
        result.allowedShare = Allowance.share(workload, case.loadPermille)
        return result
    }

    private fun row(case: Case, policy: Policy, runs: List<RunResult>): String {
        val cells = listOf(
            if (case.scenario == Scenario.STEADY) "${case.loadPermille / PERCENT}%" else case.scenario.title,
            policy.title,
            spread(runs, "%.0f") { it.percentile(P50) },
            spread(runs, "%.0f") { it.percentile(P99) },
            spread(runs, "%.0f") { it.percentile(P999) },
            spread(runs, "%.1f") { it.inTimeShare() * HUNDRED },
            spread(runs, "%.1f") { it.ofAllowed() * HUNDRED },
            spread(runs, "%.1f") { it.late * HUNDRED / it.arrivals },
            spread(runs, "%.0f") { it.costPerAnswer() },
            spread(runs, "%.2f") { it.sentAwayShare() * HUNDRED },
            spread(runs, "%.1f") { it.hitShare() * HUNDRED },
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun spread(runs: List<RunResult>, format: String, value: (RunResult) -> Double): String {
        val sorted = runs.map(value).sorted()
        val texts = listOf(sorted[sorted.size / 2], sorted.first(), sorted.last()).map { format.format(it) }
        return "${texts[0]} (${texts[1]} to ${texts[2]})"
    }

    private val LOADS get() = listOf(500, 800, 950, 1_200)
    private const val FAILURE_LOAD = 800
    private const val PERCENT = 10
    private const val HUNDRED = 100.0
    private const val P50 = 50.0
    private const val P99 = 99.0
    private const val P999 = 99.9
    private const val HEADER =
        "| load | policy | p50 ms | p99 ms | p99.9 ms | in time % | of allowed % | late % | cost | away % " +
            "| cache hits % |\n|---|---|---|---|---|---|---|---|---|---|---|"
}

/** Computes which share of the arrivals the capacity with warm caches allows. */
internal object Allowance {
    fun share(workload: Workload, loadPermille: Int): Double {
        val load = loadPermille / Workload.PERMILLE
        val bound = workload.boundPermille / Workload.PERMILLE
        var served = 0.0
        var arrived = 0.0
        for (hour in 0 until Workload.HOURS) {
            val capacities = workload.regions.map { workload.capacityPerSecond(it) }
            val rates = workload.regions.mapIndexed { index, region ->
                capacities[index] * load * workload.hourFactor(region, hour)
            }
            val boundServed = rates.mapIndexed { index, rate -> minOf(rate * bound, capacities[index]) }
            served += minOf(capacities.sum(), boundServed.sum() + rates.sum() * (1 - bound))
            arrived += rates.sum()
        }
        return served / arrived
    }
}

/** Runs the measurement; arguments: number of seeds, threads, TOML files. */
public fun main(args: Array<String>) {
    require(args.size > 2) { "usage: SEEDS THREADS WORKLOAD.toml..." }
    PolicyMeasurement.run(args.drop(2).map(Path::of), args[0].toInt(), args[1].toInt())
}
