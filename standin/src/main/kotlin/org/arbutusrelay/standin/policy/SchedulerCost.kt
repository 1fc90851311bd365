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

/** Measures time and allocated bytes per submit and complete, by number of servers and threads. */
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
                "engine-$index", SERVICE, REGION, "a", "http://engine-$index", 1, 1, SERVER_CAPACITY,
                emptyList(), emptyList(), "general", 0, 0, false, LEASE_DURATION_MS,
            )
        }
        scheduler.updateTable(RoutingTable(REGION, "a", states))
    }

    /** Returns a table row: median and range of [RUNS] runs with [threads] threads, after one warm-up run. */
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
        val costs =
            invokeAll(List(threads) { thread -> Callable { measure(round * threads + thread) } }).map { it.get() }
        return Cost(costs.sumOf { it.nanos } / threads, costs.sumOf { it.bytes } / threads)
    }

    private fun measure(seed: Int): Cost {
        val profiles = profiles(Random(seed), seed)
        val threadBean = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val bytesBefore = threadBean.currentThreadAllocatedBytes
        val startNs = System.nanoTime()
        repeat(OPERATIONS_PER_THREAD) { index ->
            val nowMs = index.toLong()
            val placement = scheduler.submit(profiles[index % profiles.size], nowMs)
            check(placement is Placement.Run)
            scheduler.complete(placement.attempt, AttemptResult.COMPLETE, nowMs + 1)
        }
        val nanos = System.nanoTime() - startNs
        val bytes = threadBean.currentThreadAllocatedBytes - bytesBefore
        return Cost(nanos.toDouble() / OPERATIONS_PER_THREAD, bytes.toDouble() / OPERATIONS_PER_THREAD)
    }

    /** Returns profiles of prompts of 30 blocks for 64 callers; prompts of one caller share their first 25 blocks. */
    private fun profiles(random: Random, seed: Int) = List(PROFILES_PER_THREAD) { index ->
        val caller = random.nextInt(CALLERS)
        val hashes =
            List(PROMPT_BLOCKS) { if (it < SHARED_BLOCKS) (caller + 1) * HASH_FACTOR + it else random.nextLong() }
        RequestProfile(
            RequestId("host", 1, seed.toLong() * PROFILES_PER_THREAD + index), "caller-$caller", SERVICE, "draft", 1,
            true, Long.MAX_VALUE / 2, listOf(REGION), hashes, promptTokens = 1_900, responseTokens = 260,
        )
    }

    private companion object {
        private const val SERVICE = "drafting"
        private const val REGION = "hue"
        private const val SERVER_CAPACITY = 16L
        private const val LEASE_DURATION_MS = 3_000L
        private const val RUNS = 5
        private const val OPERATIONS_PER_THREAD = 20_000
        private const val PROFILES_PER_THREAD = 512
        private const val CALLERS = 64
        private const val PROMPT_BLOCKS = 30
        private const val SHARED_BLOCKS = 25
        private const val HASH_FACTOR = 0x1E37_79B9_7F4A_7C15L
    }
}

/** Prints the cost of the scheduler; argument: the maximum number of threads. */
public fun main(args: Array<String>) {
    require(args.size == 1) { "usage: THREADS" }
    println("| policy | servers | threads | ns | bytes |\n|---|---|---|---|---|")
    for (policy in listOf(Policy.FINISH, Policy.ROUND_ROBIN, Policy.TWO_CHOICES)) {
        for (servers in listOf(12, 120, 575)) {
            for (threads in 1..args[0].toInt()) println(SchedulerCost(policy, servers).row(threads))
        }
    }
}
