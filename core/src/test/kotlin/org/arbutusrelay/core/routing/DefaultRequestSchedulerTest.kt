package org.arbutusrelay.core.routing

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.routing.SchedulerFixture.remote
import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import org.arbutusrelay.schema.manifest.Caller
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DefaultRequestSchedulerTest {
    private val caller = Caller("limited", "hue", tokenSha256 = emptyList(), burstRequests = 5, maxInFlight = 2)
    private val scheduler = DefaultRequestScheduler({ name -> caller.takeIf { it.name == name } })

    @Test
    fun `submit places, queues, forwards or refuses according to the table and the request`() {
        val full = server("a", capacity = 1, running = 1)
        val remoteHome = request(1, regions = listOf("danang", "hue"))
        val cases = listOf(
            Triple("free server", table(server("a")), request(1)) to "Run",
            Triple("full server, time to wait", table(full), request(1)) to "Queued",
            Triple("no server", table(), request(1)) to "NO_BACKEND_SERVER",
            Triple("passed deadline", table(server("a")), request(1, deadlineMs = 0)) to "DEADLINE_UNREACHABLE",
            Triple("no time to run", table(server("a")), request(1, deadlineMs = 20)) to "DEADLINE_UNREACHABLE",
            Triple("full server, no time to wait", table(full), request(1, deadlineMs = 300)) to "DEADLINE_UNREACHABLE",
            Triple("first predicted miss", table(full, remotes = listOf(remote("danang"))), request(1, 300)) to
                "DEADLINE_UNREACHABLE",
            Triple("region without server", table(remotes = listOf(remote("danang"))), request(1)) to "Forward",
            Triple("home only", table(remotes = listOf(remote("danang"))), request(1, regions = listOf("hue"))) to
                "NO_BACKEND_SERVER",
            Triple("link at capacity", table(remotes = listOf(remote("danang", linkUse = 950))), request(1)) to
                "NO_BACKEND_SERVER",
            Triple("forwarded", table(remotes = listOf(remote("danang"))), request(1).copy(isForwarded = true)) to
                "NO_BACKEND_SERVER",
            Triple("region not allowed", table(server("a")), request(1, regions = listOf("danang"))) to
                "REGION_UNREACHABLE",
            Triple("outside the home region", table(server("a"), remotes = listOf(remote("danang"))), remoteHome) to
                "Forward",
            Triple("home region unreachable", table(server("a")), remoteHome) to "Run",
        )
        for ((case, expected) in cases) {
            val scheduler = DefaultRequestScheduler({ null })
            scheduler.updateTable(case.second)
            assertEquals(expected, nameOf(scheduler.submit(case.third, 0)), case.first)
        }
    }

    /** Guards against an unreachable backend server that stays preferred because it has nothing in flight. */
    @Test
    fun `an unreachable backend server gets no work until the circuit breaker admits a probe`() {
        scheduler.updateTable(table(server("dead"), server("busy", running = 2)))
        var number = 0L
        val run = { nowMs: Long -> assertIs<Placement.Run>(scheduler.submit(request(++number), nowMs)).attempt }
        var first = run(0)
        while (first.backendServer != "dead") first = run(0)
        scheduler.complete(first, AttemptResult.UNREACHABLE, 1)
        repeat(4) {
            val next = run(2)
            assertEquals("busy", next.backendServer)
            scheduler.complete(next, AttemptResult.COMPLETE, 10)
        }
        scheduler.updateTable(table(server("dead")))
        assertIs<Placement.Queued>(scheduler.submit(request(++number), 1_000))
        assertEquals(
            "dead",
            scheduler.poll(2_002).map {
                assertIs<Placement.Run>(it.placement).attempt.backendServer
            }[0],
        )
    }

    @Test
    fun `sustained misses forward a request unless it was forwarded before or only the home region is allowed`() {
        val remotes = listOf(remote("danang"))
        scheduler.updateTable(table(server("a", capacity = 1, running = 1), remotes = remotes))
        val placed = { number: Long, nowMs: Long, change: (RequestProfile) -> RequestProfile ->
            nameOf(scheduler.submit(change(request(number, nowMs + 300)), nowMs))
        }
        assertEquals("DEADLINE_UNREACHABLE", placed(1, 0) { it })
        assertEquals("Forward", placed(2, 600) { it })
        assertEquals("DEADLINE_UNREACHABLE", placed(3, 600) { it.copy(isForwarded = true) })
        assertEquals("DEADLINE_UNREACHABLE", placed(4, 600) { it.copy(allowedRegions = listOf("hue")) })
    }

    @Test
    fun `the view shows requests sent since the report, an open circuit breaker and slow start`() {
        scheduler.updateTable(table(server("a")))
        assertNull(scheduler.viewOf("b", 0))
        repeat(5) { number ->
            val attempt = assertIs<Placement.Run>(scheduler.submit(request(number + 1L), 0)).attempt
            assertEquals(ScheduledServer(number + 1L, isOpen = false, isRamping = false), scheduler.viewOf("a", 0))
            scheduler.complete(attempt, AttemptResult.SERVER_ERROR, 0)
        }
        assertEquals(ScheduledServer(5, isOpen = true, isRamping = false), scheduler.viewOf("a", 0))
        scheduler.updateTable(table(server("a", running = 1), server("early")))
        assertEquals(0, scheduler.viewOf("a", 0)?.sentSinceReport, "a new report resets the count")
        assertEquals(false, scheduler.viewOf("early", 0)?.isRamping, "no slow start during host startup")
        scheduler.poll(30_000)
        scheduler.updateTable(table(server("a", running = 1), server("early"), server("new")))
        assertEquals(ScheduledServer(0, isOpen = false, isRamping = true), scheduler.viewOf("new", 30_000))
    }

    @Test
    fun `completing an attempt places the queued request with the earliest deadline`() {
        scheduler.updateTable(table(server("a", capacity = 1)))
        val first = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        scheduler.submit(request(2, deadlineMs = 50_000), 1)
        scheduler.submit(request(3, deadlineMs = 40_000), 2)
        val placed = scheduler.complete(first, AttemptResult.COMPLETE, 100)
        assertEquals(listOf(3L), placed.map { it.profile.id.requestNumber })
        assertTrue(scheduler.complete(first, AttemptResult.COMPLETE, 101).isEmpty(), "an attempt ends only once")
        assertEquals(1, scheduler.openAttempts())
    }

    /** Guards against budgets that grow with each submission of a request that cannot be placed yet. */
    @Test
    fun `a request that is submitted again is counted once`() {
        val scheduler = DefaultRequestScheduler({ null }, settings = SchedulerSettings(retryPermille = 500))
        scheduler.updateTable(table())
        assertEquals("NO_BACKEND_SERVER", nameOf(scheduler.submit(request(1), 0)))
        repeat(20) { scheduler.submit(request(1).copy(isResubmitted = true), 0) }
        scheduler.submit(request(2), 0)
        // The budget begins with two retries.
        assertEquals(3, (1..20).count { scheduler.tryRetry(request(1), 0) })
    }

    @Test
    fun `poll refuses expired queued requests and releases their caller slots`() {
        scheduler.updateTable(table(server("a", capacity = 1)))
        scheduler.submit(request(1, caller = "limited"), 0)
        assertEquals(Placement.Queued, scheduler.submit(request(2, 5_000, "limited"), 0))
        assertEquals("CALLER_LIMIT", nameOf(scheduler.submit(request(3, caller = "limited"), 0)))
        assertEquals(listOf("DEADLINE_UNREACHABLE"), scheduler.poll(5_000).map { nameOf(it.placement) })
        assertEquals(Placement.Queued, scheduler.submit(request(4, caller = "limited"), 5_000))
        assertTrue(scheduler.cancel(request(4)))
        assertFalse(scheduler.cancel(request(4)), "a cancelled request has left the queue")
    }

    @Test
    fun `an isolated request waits for an idle server and blocks new work on it`() {
        scheduler.updateTable(table(server("a")))
        val other = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        assertEquals(Placement.Queued, scheduler.submit(request(2).copy(isIsolated = true), 0))
        assertTrue(scheduler.poll(10).isEmpty())
        assertEquals(Placement.Queued, scheduler.submit(request(3), 10), "the server is claimed")
        val placed = scheduler.complete(other, AttemptResult.COMPLETE, 20)
        assertEquals(listOf(2L), placed.map { it.profile.id.requestNumber }, "only the isolated request runs")
        val isolated = assertIs<Placement.Run>(placed.single().placement).attempt
        assertEquals(3L, scheduler.complete(isolated, AttemptResult.COMPLETE, 30).single().profile.id.requestNumber)
    }

    @Test
    fun `a leaving server gets no new work`() {
        scheduler.updateTable(table(server("a")))
        scheduler.updateTable(table(server("a", isLeaving = true)))
        assertEquals("NO_BACKEND_SERVER", nameOf(scheduler.submit(request(1), 0)))
    }

    @Test
    fun `a server discovered after startup gets a slow start, one discovered during startup does not`() {
        for ((discoveredAtMs, expected) in listOf(1_000L to 4, 30_000L to 1)) {
            val scheduler = DefaultRequestScheduler({ null })
            scheduler.poll(500)
            scheduler.updateTable(table())
            scheduler.poll(discoveredAtMs)
            scheduler.updateTable(table(server("a")))
            val placed = (1L..6L).count {
                scheduler.submit(request(it, discoveredAtMs + 60_000), discoveredAtMs) is Placement.Run
            }
            assertEquals(expected, placed, "discovered at $discoveredAtMs ms")
        }
    }

    @Test
    fun `a late idempotent request is hedged once on another server`() {
        scheduler.updateTable(table(server("a"), server("b")))
        val attempt = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        assertNull(scheduler.tryHedge(attempt, 1), "no hedge is due yet")
        val hedge = assertNotNull(scheduler.tryHedge(attempt, 10_000))
        assertTrue(hedge.isHedge && hedge.backendServer != attempt.backendServer)
        assertNull(scheduler.tryHedge(attempt, 20_000), "at most one hedge for each attempt")
        val nonIdempotent = scheduler.submit(request(2).copy(isIdempotent = false), 0)
        assertNull(scheduler.tryHedge(assertIs<Placement.Run>(nonIdempotent).attempt, 10_000))
    }

    @Test
    fun `retries are limited by the budget and the deadline`() {
        scheduler.updateTable(table(server("a")))
        assertEquals(2, (1..10).count { scheduler.tryRetry(request(1), 0) })
        assertFalse(scheduler.tryRetry(request(1, deadlineMs = 1), 0))
    }

    private fun nameOf(placement: Placement) = when (placement) {
        is Placement.Refused -> placement.error.kind.name.also { assertTrue(placement.error.kind in ErrorKind.entries) }
        else -> placement::class.simpleName
    }
}
