package org.arbutusrelay.core.routing

import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Backend servers that reject a request and ask this host to send nothing for a time. */
class PauseTest {
    private fun scheduler() = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())

    private fun DefaultRequestScheduler.run(number: Long, nowMs: Long): PlacedAttempt =
        assertIs<Placement.Run>(submit(request(number), nowMs)).attempt

    private fun DefaultRequestScheduler.reject(attempt: PlacedAttempt, pauseMs: Long, nowMs: Long) {
        recordPause(attempt, pauseMs, spread = 0.0, nowMs)
        complete(attempt, AttemptResult.REFUSED, nowMs)
    }

    /** Guards against requests that reach a server before the end of the pause that it has asked for. */
    @Test
    fun `a server gets no request until the end of its longest pause`() {
        data class Case(val pausesMs: List<Long>, val atMs: Long, val isUsed: Boolean)
        val cases = listOf(
            Case(listOf(2_000), 1_999, false),
            Case(listOf(2_000), 2_000, true),
            Case(listOf(2_000, 500), 1_999, false),
            Case(listOf(500, 2_000), 1_999, false),
            Case(listOf(0), 0, true),
            Case(emptyList(), 0, true),
        )
        for (case in cases) {
            val scheduler = scheduler()
            scheduler.updateTable(table(server("a")))
            val attempts = case.pausesMs.indices.map { scheduler.run(it + 1L, 0) }
            attempts.zip(case.pausesMs).forEach { (attempt, pauseMs) -> scheduler.reject(attempt, pauseMs, 0) }
            val placement = scheduler.submit(request(9), case.atMs)
            assertEquals(case.isUsed, placement is Placement.Run, "$case")
            assertEquals(if (case.isUsed) 0 else 1, scheduler.pausedServers(case.atMs), "$case")
        }
    }

    /** Guards against a pause that makes the requests of other servers, or of a new process, wait. */
    @Test
    fun `requests go to the servers that have not asked for a pause`() {
        val scheduler = scheduler()
        scheduler.updateTable(table(server("a"), server("b")))
        val first = scheduler.run(1, 0)
        scheduler.reject(first, 2_000, 0)
        val second = scheduler.run(2, 1)
        assertTrue(second.backendServer != first.backendServer)
        scheduler.updateTable(table(server(first.backendServer, incarnation = 2)))
        assertEquals(first.backendServer, scheduler.run(3, 2).backendServer)
    }

    /** Guards against callers that wait for a server which takes no request before their deadline. */
    @Test
    fun `a request whose deadline passes before all pauses end is refused at once`() {
        data class Case(val deadlineMs: Long, val expected: String)
        val cases = listOf(
            Case(60_000, "Queued"),
            Case(3_000, "Queued"),
            Case(2_000, "2000"),
            Case(1_500, "2000"),
        )
        for (case in cases) {
            val scheduler = scheduler()
            scheduler.updateTable(table(server("a"), server("b")))
            val attempts = listOf(scheduler.run(1, 0), scheduler.run(2, 0))
            assertEquals(2, attempts.map { it.backendServer }.toSet().size)
            attempts.zip(listOf(5_000L, 2_000L)).forEach { (attempt, pauseMs) -> scheduler.reject(attempt, pauseMs, 0) }
            val placement = scheduler.submit(request(3, deadlineMs = case.deadlineMs), 0)
            val actual = if (placement is Placement.Refused) "${placement.error.retryAfterMs}" else "$placement"
            assertEquals(case.expected, actual, "$case")
        }
    }

    /** Guards against a queued request that waits on although all servers have asked for a pause since. */
    @Test
    fun `a queued request is refused when a pause outlasts its deadline`() {
        val scheduler = scheduler()
        scheduler.updateTable(table(server("a", capacity = 1)))
        val running = scheduler.run(1, 0)
        assertEquals(Placement.Queued, scheduler.submit(request(2, deadlineMs = 4_000), 0))
        scheduler.reject(running, 10_000, 5)
        val refused = assertIs<Placement.Refused>(scheduler.poll(25).single().placement)
        assertEquals(9_980, refused.error.retryAfterMs)
    }

    /** Guards against a server that is overrun by what all hosts have queued during its pause. */
    @Test
    fun `hosts return to a server one after another`() {
        val hosts = List(HOSTS) { scheduler().apply { updateTable(table(server("a", capacity = 64))) } }
        val random = Random(1)
        var number = 0L
        val running = ArrayList<Triple<DefaultRequestScheduler, PlacedAttempt, Long>>()
        val startsMs = ArrayList<Long>()
        val start = { host: DefaultRequestScheduler, attempt: PlacedAttempt, nowMs: Long ->
            startsMs += nowMs
            running += Triple(host, attempt, nowMs + RUN_MS)
        }
        for (nowMs in 0L until PAUSE_AT_MS + PAUSE_MS + 2_000 step 10) {
            running.filter { it.third <= nowMs }.forEach { done ->
                running -= done
                done.first.complete(done.second, AttemptResult.COMPLETE, nowMs)
                    .forEach { start(done.first, assertIs<Placement.Run>(it.placement).attempt, nowMs) }
            }
            for ((index, host) in hosts.withIndex()) {
                host.poll(nowMs).forEach { start(host, assertIs<Placement.Run>(it.placement).attempt, nowMs) }
                if ((nowMs / 10 + index) % 10 != 0L) continue
                val placement = host.submit(request(++number, deadlineMs = nowMs + 60_000), nowMs)
                if (placement !is Placement.Run) continue
                if (nowMs in PAUSE_AT_MS until PAUSE_AT_MS + 100) {
                    host.recordPause(placement.attempt, PAUSE_MS, random.nextDouble(), nowMs)
                    host.complete(placement.attempt, AttemptResult.REFUSED, nowMs)
                } else {
                    start(host, placement.attempt, nowMs)
                }
            }
        }
        val before = startsMs.count { it in PAUSE_AT_MS - WINDOW_MS until PAUSE_AT_MS }
        val endMs = PAUSE_AT_MS + PAUSE_MS
        val after = startsMs.count { it in endMs until endMs + WINDOW_MS }
        assertEquals(0, startsMs.count { it in PAUSE_AT_MS + 100 until endMs })
        assertTrue(after <= before, "$after after the pause, $before before")
    }

    private companion object {
        const val HOSTS = 18
        const val RUN_MS = 50L
        const val PAUSE_AT_MS = 1_000L
        const val PAUSE_MS = 2_000L
        const val WINDOW_MS = 200L
    }
}
