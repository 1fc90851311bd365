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
    fun `each decision follows from the table and the request`() {
        val full = server("a", capacity = 1, running = 1)
        val visitor = request(1, regions = listOf("danang", "hue"))
        val cases = listOf(
            Triple("free server", table(server("a")), request(1)) to "Run",
            Triple("full server, long wait", table(full), request(1)) to "Queued",
            Triple("no server", table(), request(1)) to "NO_BACKEND_SERVER",
            Triple("passed deadline", table(server("a")), request(1, deadlineMs = 0)) to "DEADLINE_UNREACHABLE",
            Triple("no time to run", table(server("a")), request(1, deadlineMs = 20)) to "DEADLINE_UNREACHABLE",
            Triple("full server, no time to wait", table(full), request(1, deadlineMs = 300)) to "DEADLINE_UNREACHABLE",
            Triple("first miss", table(full, remotes = listOf(remote("danang"))), request(1, 300)) to
                "DEADLINE_UNREACHABLE",
            Triple("region lost", table(remotes = listOf(remote("danang"))), request(1)) to "Forward",
            Triple("bound to home", table(remotes = listOf(remote("danang"))), request(1, regions = listOf("hue"))) to
                "NO_BACKEND_SERVER",
            Triple("no share left", table(remotes = listOf(remote("danang", linkUse = 950))), request(1)) to
                "NO_BACKEND_SERVER",
            Triple("forwarded", table(remotes = listOf(remote("danang"))), request(1).copy(isForwarded = true)) to
                "NO_BACKEND_SERVER",
            Triple("not allowed here", table(server("a")), request(1, regions = listOf("danang"))) to
                "REGION_UNREACHABLE",
            Triple("away from home", table(server("a"), remotes = listOf(remote("danang"))), visitor) to "Forward",
            Triple("home is lost", table(server("a")), visitor) to "Run",
        )
        for ((case, expected) in cases) {
            val scheduler = DefaultRequestScheduler({ null })
            scheduler.updateTable(case.second)
            assertEquals(expected, nameOf(scheduler.submit(case.third, 0)), case.first)
        }
    }

    /** Guards against a dead backend server that stays preferred because it has nothing in flight. */
    @Test
    fun `one refused connection keeps work away from a backend server until a probe is due`() {
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
    fun `lasting misses at home send a request away, unless it was forwarded or is bound to home`() {
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
    fun `the view tells what was sent since the report and why a server gets less`() {
        scheduler.updateTable(table(server("a")))
        assertNull(scheduler.viewOf("b", 0))
        repeat(5) { number ->
            val attempt = assertIs<Placement.Run>(scheduler.submit(request(number + 1L), 0)).attempt
            assertEquals(ScheduledServer(number + 1L, isOpen = false, isRamping = false), scheduler.viewOf("a", 0))
            scheduler.complete(attempt, AttemptResult.SERVER_ERROR, 0)
        }
        assertEquals(ScheduledServer(5, isOpen = true, isRamping = false), scheduler.viewOf("a", 0))
        scheduler.updateTable(table(server("a", running = 1), server("early")))
        assertEquals(0, scheduler.viewOf("a", 0)?.sentSinceReport, "a report starts a new count")
        assertEquals(false, scheduler.viewOf("early", 0)?.isRamping, "a starting host learns of servers that are warm")
        scheduler.poll(30_000)
        scheduler.updateTable(table(server("a", running = 1), server("early"), server("new")))
        assertEquals(ScheduledServer(0, isOpen = false, isRamping = true), scheduler.viewOf("new", 30_000))
    }

    @Test
    fun `a completed attempt places the earliest waiting deadline`() {
        scheduler.updateTable(table(server("a", capacity = 1)))
        val first = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        scheduler.submit(request(2, deadlineMs = 50_000), 1)
        scheduler.submit(request(3, deadlineMs = 40_000), 2)
        val placed = scheduler.complete(first, AttemptResult.COMPLETE, 100)
        assertEquals(listOf(3L), placed.map { it.profile.id.requestNumber })
        assertTrue(scheduler.complete(first, AttemptResult.COMPLETE, 101).isEmpty(), "an attempt ends only once")
        assertEquals(1, scheduler.openAttempts())
    }

    @Test
    fun `queued requests with passed deadlines are refused by poll and free their caller`() {
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
    fun `an isolated request waits until nothing is in flight and keeps new work away`() {
        scheduler.updateTable(table(server("a")))
        val other = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        assertEquals(Placement.Queued, scheduler.submit(request(2).copy(isIsolated = true), 0))
        assertTrue(scheduler.poll(10).isEmpty())
        assertEquals(Placement.Queued, scheduler.submit(request(3), 10), "the server is kept free")
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
    fun `a server that appears later is ramped up, one that appears while the host starts is not`() {
        for ((appearsAtMs, expected) in listOf(1_000L to 4, 30_000L to 1)) {
            val scheduler = DefaultRequestScheduler({ null })
            scheduler.poll(500)
            scheduler.updateTable(table())
            scheduler.poll(appearsAtMs)
            scheduler.updateTable(table(server("a")))
            val placed = (1L..6L).count {
                scheduler.submit(request(it, appearsAtMs + 60_000), appearsAtMs) is Placement.Run
            }
            assertEquals(expected, placed, "appears at $appearsAtMs ms")
        }
    }

    @Test
    fun `hedges run elsewhere, once, for idempotent requests that are late`() {
        scheduler.updateTable(table(server("a"), server("b")))
        val attempt = assertIs<Placement.Run>(scheduler.submit(request(1), 0)).attempt
        assertNull(scheduler.tryHedge(attempt, 1), "no hedge is due yet")
        val hedge = assertNotNull(scheduler.tryHedge(attempt, 10_000))
        assertTrue(hedge.isHedge && hedge.backendServer != attempt.backendServer)
        assertNull(scheduler.tryHedge(attempt, 20_000), "one hedge for each attempt")
        val posting = scheduler.submit(request(2).copy(isIdempotent = false), 0)
        assertNull(scheduler.tryHedge(assertIs<Placement.Run>(posting).attempt, 10_000))
    }

    @Test
    fun `retries stop at the budget`() {
        scheduler.updateTable(table(server("a")))
        assertEquals(2, (1..10).count { scheduler.tryRetry(request(1), 0) })
        assertFalse(scheduler.tryRetry(request(1, deadlineMs = 1), 0))
    }

    private fun nameOf(placement: Placement) = when (placement) {
        is Placement.Refused -> placement.error.kind.name.also { assertTrue(placement.error.kind in ErrorKind.entries) }
        else -> placement::class.simpleName
    }
}
