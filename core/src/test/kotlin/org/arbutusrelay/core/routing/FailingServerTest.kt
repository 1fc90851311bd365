package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.message.BackendServerState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class FailingServerTest {
    private class Running(val attempt: PlacedAttempt, val endMs: Long, val isFailure: Boolean)

    private fun server(name: String) = BackendServerState(
        name, "drafting", "hue", "hue-a", name, 1, 1, 64, emptyList(), emptyList(), "", 0, 0, false, 3_000,
    )

    private fun request(number: Long, isIdempotent: Boolean) = RequestProfile(
        RequestId(
            "hue-1",
            1,
            number,
        ),
        "", "drafting", "draft", 1, isIdempotent, number * GAP_MS + 10_000, listOf("hue"),
        promptTokens = 800, isStream = true, targetMs = 600,
    )

    /**
     * Simulates servers of which one fails part of its requests while it reports itself as healthy: its successes close
     * the circuit breaker again. Returns the number of requests that reached it after the first second, which is
     * allowed for detection.
     */
    private fun requestsToFailing(failureRate: Double, isIdempotent: Boolean, servers: Int, seed: Long): Int {
        val random = Random(seed)
        val scheduler = DefaultRequestScheduler(
            callerOf = { null },
            settings = SchedulerSettings(rampMs = 1),
            serverSelector = FirstByteServerSelector(),
        )
        scheduler.updateTable(RoutingTable("hue", "hue-a", List(servers) { server("engine-$it") }))
        val running = ArrayList<Running>()
        var reached = 0
        repeat(REQUESTS) { number ->
            val nowMs = number * GAP_MS
            running.filter { it.endMs <= nowMs }.forEach {
                val result = if (it.isFailure) AttemptResult.CONNECTION_LOST else AttemptResult.COMPLETE
                scheduler.complete(it.attempt, result, it.endMs)
                running.remove(it)
            }
            val placement = scheduler.submit(request(number.toLong(), isIdempotent), nowMs)
            val attempt = (placement as? Placement.Run)?.attempt ?: return@repeat
            val isFailing = attempt.backendServer == "engine-0"
            if (isFailing && nowMs >= 1_000) reached++
            val isFailure = isFailing && random.nextDouble() < failureRate
            running += Running(attempt, nowMs + if (isFailure) 10 else 200, isFailure)
        }
        return reached
    }

    /** Guards against a server that fails half of its requests and gets as many as the healthy ones. */
    @Test
    fun `a server that fails part of its requests gets a fraction of its fair share`() {
        data class Case(val failureRate: Double, val isIdempotent: Boolean, val servers: Int)
        val cases = listOf(
            Case(0.4, false, 4),
            Case(0.56, false, 10),
            Case(0.9, false, 10),
            Case(0.56, true, 10),
            Case(0.9, true, 3),
        )
        cases.forEach { case ->
            repeat(20) { seed ->
                val reached = requestsToFailing(case.failureRate, case.isIdempotent, case.servers, seed.toLong())
                val fairShare = REQUESTS * 5 / 6 / case.servers
                assertTrue(reached <= fairShare / 3, "$case, seed $seed: $reached with a fair share of $fairShare")
            }
        }
    }

    /** Guards against a service that gets no requests because all of its servers fail at the same rate. */
    @Test
    fun `servers that fail at the same rate are all used`() {
        val scheduler = DefaultRequestScheduler(callerOf = { null }, serverSelector = FirstByteServerSelector())
        scheduler.updateTable(RoutingTable("hue", "hue-a", List(4) { server("engine-$it") }))
        val counts = HashMap<String, Int>()
        repeat(400) { number ->
            val nowMs = number * GAP_MS
            val placement = scheduler.submit(request(number.toLong(), isIdempotent = false), nowMs)
            val attempt = (placement as Placement.Run).attempt
            counts.merge(attempt.backendServer, 1, Int::plus)
            val result = if (number % 3 == 0) AttemptResult.SERVER_ERROR else AttemptResult.COMPLETE
            scheduler.complete(attempt, result, nowMs + 5)
        }
        assertTrue(counts.values.min() >= 400 / 4 / 3, "$counts")
    }

    private companion object {
        const val REQUESTS = 600
        const val GAP_MS = 10L
    }
}
