package org.arbutusrelay.standin.policy

import com.sun.management.ThreadMXBean
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.DefaultRequestScheduler
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.schema.message.BackendServerState
import java.lang.management.ManagementFactory
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.random.Random

/** Measures the time and the allocation of one submit plus complete against servers and threads. */
internal class SchedulerCost(private val policy: Policy, private val servers: Int) {
    private class Cost(val nanos: Double, val bytes: Double)

    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        serverSelector = policy.serverSelector(Random(1)),
        regionSelector = policy.regionSelector(Random(1)),
    )

    init {
        val states = List(servers) { index ->
            BackendServerState(
                "engine-$index", SERVICE, REGION, "a", "http://engine-$index", 1, 1, CAPACITY,
                emptyList(), emptyList(), "general", 0, 0, false, LEASE_MS,
            )
        }
        scheduler.updateTable(RoutingTable(REGION, "a", states))
    }

    /** Returns a table row: median and spread over [RUNS] runs with [threads] threads. */
    fun row(threads: Int): String {
        val pool = Executors.newFixedThreadPool(threads)
        try {
            val runs = List(RUNS + 1) { round -> runOnce(threads, round, pool::invokeAll) }.drop(1)
            val nanos = runs.map { it.nanos }.sorted()
            val bytes = runs.map { it.bytes }.sorted()
            return "| ${policy.title} | $servers | $threads | %.0f (%.0f to %.0f) | %.0f (%.0f to %.0f) |".format(
                nanos[RUNS / 2],
                nanos.first(),
                nanos.last(),
                bytes[RUNS / 2],
                bytes.first(),
                bytes.last(),
            )
        } finally {
            pool.shutdown()
        }
    }

    private fun runOnce(
        threads: Int,
        round: Int,
        invokeAll: (List<Callable<Cost>>) -> List<Future<Cost>>,
    ): Cost {
        val costs = invokeAll(List(threads) { thread -> Callable { work(round * threads + thread) } }).map { it.get() }
        return Cost(costs.sumOf { it.nanos } / threads, costs.sumOf { it.bytes } / threads)
    }

    private fun work(seed: Int): Cost {
        val profiles = profiles(Random(seed), seed)
        val beans = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val bytesBefore = beans.currentThreadAllocatedBytes
        val startedNs = System.nanoTime()
        repeat(OPERATIONS) { index ->
            val nowMs = index.toLong()
            val placement = scheduler.submit(profiles[index % profiles.size], nowMs)
            check(placement is Placement.Run)
            scheduler.complete(placement.attempt, AttemptResult.COMPLETE, nowMs + 1)
        }
        val nanos = System.nanoTime() - startedNs
        val bytes = beans.currentThreadAllocatedBytes - bytesBefore
        return Cost(nanos.toDouble() / OPERATIONS, bytes.toDouble() / OPERATIONS)
    }

    /** Profiles of prompts with 30 blocks, of which the first 25 are shared by 64 callers' prompts. */
    private fun profiles(random: Random, seed: Int) = List(PROFILES) { index ->
        val caller = random.nextInt(CALLERS)
        val hashes = List(BLOCKS) { if (it < SHARED) (caller + 1) * HASH + it else random.nextLong() }
        RequestProfile(
            RequestId("host", 1, seed.toLong() * PROFILES + index), "caller-$caller", SERVICE, "draft", 1, true,
            Long.MAX_VALUE / 2, listOf(REGION), hashes, promptTokens = 1_900, responseTokens = 260,
        )
    }

    private companion object {
        private const val SERVICE = "drafting"
        private const val REGION = "hue"
        private const val CAPACITY = 16L
        private const val LEASE_MS = 3_000L
        private const val RUNS = 5
        private const val OPERATIONS = 20_000
        private const val PROFILES = 512
        private const val CALLERS = 64
        private const val BLOCKS = 30
        private const val SHARED = 25
        private const val HASH = 0x1E37_79B9_7F4A_7C15L
    }
}

/** Prints the cost of the scheduler; argument: the largest number of threads. */
public fun main(args: Array<String>) {
    require(args.size == 1) { "usage: THREADS" }
    println("| policy | servers | threads | ns | bytes |\n|---|---|---|---|---|")
    for (policy in listOf(Policy.FINISH, Policy.ROUND_ROBIN, Policy.TWO_CHOICES)) {
        for (servers in listOf(12, 120, 575)) {
            for (threads in 1..args[0].toInt()) println(SchedulerCost(policy, servers).row(threads))
        }
    }
}
