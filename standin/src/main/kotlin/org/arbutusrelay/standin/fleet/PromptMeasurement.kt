package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.routing.FirstByteServerSelector
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.ServerPool
import org.arbutusrelay.core.routing.ServerSelector

/** Compares ways to keep long prompts from holding up short ones on the same engines. */
public object PromptMeasurement {
    internal class Way(
        val title: String,
        val separates: Boolean = false,
        val prioritises: Boolean = false,
        val boundTokens: Double = Double.MAX_VALUE,
    ) {
        fun run(load: FleetSpec, seed: Long): FleetModel {
            val engine = load.engine.copy(prioritisesPrefill = prioritises)
            val spec = load.copy(engine = engine, separatesLongPrompts = separates)
            lateinit var model: FleetModel
            val prefillTokens = { name: String -> model.engine(name)?.prefillTokens ?: 0 }
            val selector = { FirstByteServerSelector().let { BoundedSelector(it, boundTokens, prefillTokens) } }
            model = FleetModel(spec, selector, seed)
            return model.run()
        }
    }

    /**
     * Selects among the engines with at most [boundTokens] in prefill, if there are any.
     *
     * It knows the tokens of all hosts at any time, which no host does, and so shows the most that a bound can reach.
     */
    private class BoundedSelector(
        private val base: ServerSelector,
        private val boundTokens: Double,
        private val prefillTokens: (String) -> Int,
    ) : ServerSelector by base {
        override fun select(profile: RequestProfile, servers: ServerPool, nowMs: Long) =
            if (boundTokens == Double.MAX_VALUE) {
                base.select(profile, servers, nowMs)
            } else {
                val below = servers.slots.filter { prefillTokens(it.name) <= boundTokens }
                base.select(profile, ServerPool(below, servers.times), nowMs) ?: base.select(profile, servers, nowMs)
            }
    }

    internal val ways = listOf(
        Way("none"),
        Way("set of servers", separates = true),
        Way("bound of prefill", boundTokens = BOUND_TOKENS),
        Way("priority at the server", prioritises = true),
        Way("set and priority", separates = true, prioritises = true),
    )

    /** Prints one row for each load pattern, load and way, over [seeds] seeds. */
    public fun run(seeds: Int, loadsPermille: List<Int>, hosts: Int) {
        println(HEADER)
        for (pattern in PromptPattern.entries) {
            for (load in loadsPermille) {
                for (way in ways) {
                    val runs = (1L..seeds).toList().parallelStream()
                        .map { way.run(pattern.spec(hosts, load), it) }.toList()
                    println(row(pattern.title, load, way.title, runs))
                }
            }
        }
    }

    private fun row(pattern: String, load: Int, way: String, runs: List<FleetModel>): String {
        val kinds = listOf(FleetSpec.LONG, FleetSpec.SHORT).flatMap { kind ->
            val tallies = runs.map { it.tallies.getValue(kind) }
            fun percent(count: (FleetTally) -> Int) =
                "%.1f".format(PERCENT * tallies.sumOf(count) / tallies.sumOf { it.arrivals })
            listOf(
                percent { it.inTime },
                percent { it.lateFirst },
                percent { it.latePause },
                tail(tallies.flatMap { it.firstByteMs }),
                tail(tallies.flatMap { it.maxPauseMs }),
            )
        }
        val recomputed = runs.sumOf { run -> run.engines.values.flatten().sumOf { it.recomputedTokens } } /
            runs.sumOf { it.tallies.getValue(FleetSpec.LONG).arrivals.toLong() }
        return (listOf(pattern, "${load / PERMILLE_PER_PERCENT}%", way) + kinds + "$recomputed")
            .joinToString(" | ", "| ", " |")
    }

    private fun tail(values: List<Double>): String =
        if (values.isEmpty()) "-" else "%.0f".format(values.sorted()[(values.size * TAIL_SHARE).toInt()])

    private const val PERCENT = 100.0
    private const val PERMILLE_PER_PERCENT = 10
    private const val TAIL_SHARE = 0.99

    /** Two chunks of a prompt. */
    private const val BOUND_TOKENS = 4_096.0
    private const val HEADER = "| pattern | load | way | long in time % | late first % | late pause % | p99 first ms " +
        "| p99 pause ms | short in time % | late first % | late pause % | p99 first ms | p99 pause ms " +
        "| recomputed tokens a long request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
}

/** Runs the measurement; arguments: seeds, loads in thousandths with commas, hosts a region. */
public fun main(args: Array<String>) {
    require(args.size == 3) { "usage: SEEDS LOAD,... HOSTS" }
    PromptMeasurement.run(args[0].toInt(), args[1].split(',').map(String::toInt), args[2].toInt())
}
