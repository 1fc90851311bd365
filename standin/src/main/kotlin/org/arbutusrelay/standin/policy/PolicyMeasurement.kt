package org.arbutusrelay.standin.policy

import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Compares the routing policy with the baseline policies and prints one table per workload. */
public object PolicyMeasurement {
    private class Case(val scenario: Scenario, val loadPermille: Int)

    private val cases = STEADY_LOADS_PERMILLE.map { Case(Scenario.STEADY, it) } +
        Scenario.entries.drop(1).map { Case(it, FAILURE_LOAD_PERMILLE) }

    /** Measures each workload of the TOML [files] with [seeds] seeds and up to [threads] concurrent runs. */
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
        val arrivals = ArrivalGenerator(workload, seed).generate(case.loadPermille)
        val result = PolicyModel(workload, case.scenario, policy, seed).run(arrivals)
        check(result.decided == result.arrivals) { "${result.arrivals - result.decided} requests without a decision" }
        result.servableShare = CapacityBound.servableShare(workload, case.loadPermille)
        return result
    }

    private fun row(case: Case, policy: Policy, runs: List<RunResult>): String {
        val cells = listOf(
            if (case.scenario == Scenario.STEADY) "${case.loadPermille / PERCENT_DIVISOR}%" else case.scenario.title,
            policy.title,
            medianAndRange(runs, "%.0f") { it.percentile(P50) },
            medianAndRange(runs, "%.0f") { it.percentile(P99) },
            medianAndRange(runs, "%.0f") { it.percentile(P999) },
            medianAndRange(runs, "%.1f") { it.onTimeShare() * PERCENT_FACTOR },
            medianAndRange(runs, "%.1f") { it.onTimeShareOfServable() * PERCENT_FACTOR },
            medianAndRange(runs, "%.1f") { it.late * PERCENT_FACTOR / it.arrivals },
            medianAndRange(runs, "%.0f") { it.costPerOnTimeResponse() },
            medianAndRange(runs, "%.2f") { it.forwardedShare() * PERCENT_FACTOR },
            medianAndRange(runs, "%.1f") { it.cacheHitShare() * PERCENT_FACTOR },
        )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun medianAndRange(runs: List<RunResult>, format: String, value: (RunResult) -> Double): String {
        val sorted = runs.map(value).sorted()
        val formatted = listOf(sorted[sorted.size / 2], sorted.first(), sorted.last()).map { format.format(it) }
        return "${formatted[0]} (${formatted[1]} to ${formatted[2]})"
    }

    private val STEADY_LOADS_PERMILLE get() = listOf(500, 800, 950, 1_200)
    private const val FAILURE_LOAD_PERMILLE = 800
    private const val PERCENT_DIVISOR = 10
    private const val PERCENT_FACTOR = 100.0
    private const val P50 = 50.0
    private const val P99 = 99.0
    private const val P999 = 99.9
    private const val HEADER =
        "| load | policy | p50 ms | p99 ms | p99.9 ms | in time % | of allowed % | late % | cost | away % " +
            "| cache hits % |\n|---|---|---|---|---|---|---|---|---|---|---|"
}

/** Computes the share of arrivals that the capacity with warm caches can serve: an upper bound for any policy. */
internal object CapacityBound {
    fun servableShare(workload: Workload, loadPermille: Int): Double {
        val loadFactor = loadPermille / Workload.PERMILLE
        val boundShare = workload.boundPermille / Workload.PERMILLE
        var servable = 0.0
        var offered = 0.0
        for (hour in 0 until Workload.HOURS_PER_DAY) {
            val capacities = workload.regions.map { workload.capacityPerSecond(it) }
            val rates = workload.regions.mapIndexed { index, region ->
                capacities[index] * loadFactor * workload.hourFactor(region, hour)
            }
            val servableBound = rates.mapIndexed { index, rate -> minOf(rate * boundShare, capacities[index]) }
            servable += minOf(capacities.sum(), servableBound.sum() + rates.sum() * (1 - boundShare))
            offered += rates.sum()
        }
        return servable / offered
    }
}

/** Runs the measurement; arguments: number of seeds, threads, TOML files. */
public fun main(args: Array<String>) {
    require(args.size > 2) { "usage: SEEDS THREADS WORKLOAD.toml..." }
    PolicyMeasurement.run(args.drop(2).map(Path::of), args[0].toInt(), args[1].toInt())
}
