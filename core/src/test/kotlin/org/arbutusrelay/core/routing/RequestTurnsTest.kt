package org.arbutusrelay.core.routing

import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServerLimit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Backend servers that have named how many requests a second they take from all hosts together. */
class RequestTurnsTest {
    private fun limited(name: String, permille: Long?, heldMs: Long = 0, incarnation: Long = 1): BackendServerState =
        server(name, incarnation = incarnation).copy(limit = ServerLimit(name, incarnation, permille, 0, heldMs))

    private fun allowed(permille: Long) = (1.5 * WINDOW_MS / 1_000 * permille / 1_000 + 5).toInt()

    /** Guards against hosts that together send a limited server too much, and against turns that nobody uses. */
    @Test
    fun `all hosts together keep to the limit and use it`() {
        data class Case(val hosts: Int, val permille: Long, val servers: List<String>)
        val limits = listOf(0L, 100, 500, 1_000, 2_500, 5_000, 20_000, 50_000)
        val cases = listOf(1, 2, 7, 18).flatMap { hosts ->
            limits.flatMap { listOf(Case(hosts, it, listOf("a")), Case(hosts, it, listOf("a", "b"))) }
        }
        for (case in cases) {
            val site = LimitedSite(case.hosts, case.permille, serverNames = case.servers).run(END_MS)
            val most = site.mostIn(WINDOW_MS, COUNTED_FROM_MS)
            assertTrue(most <= allowed(case.permille), "$most requests, $case")
            val sent = site.arrivals.count { it.atMs >= COUNTED_FROM_MS }
            val taken = minOf(case.permille / 1_000.0, 30.0 * case.hosts) * (END_MS - COUNTED_FROM_MS) / 1_000
            if (case.servers.size == 1) assertTrue(sent >= taken * 0.7 - 2, "$sent of $taken, $case")
        }
    }

    /** Guards against a host that makes up for turns that it missed, or that takes those of hosts it can't reach. */
    @Test
    fun `a host that was suspended or cut off gets no more than its share`() {
        data class Case(val isFrozen: Boolean, val hosts: Int, val permille: Long)
        val cases = listOf(true, false).flatMap { isFrozen ->
            listOf(2, 7, 18).flatMap { hosts -> listOf(1_000L, 5_000L, 50_000L).map { Case(isFrozen, hosts, it) } }
        }
        for (case in cases) {
            val trouble = HostTrouble(0, 10_000, 17_000, case.isFrozen)
            val site = LimitedSite(case.hosts, case.permille, troubles = listOf(trouble)).run(END_MS)
            // Every turn once, those that can still be used at the begin of the window, and the time of a message.
            val usableMs = maxOf(1_000_000 / case.permille, 200)
            val turns = (WINDOW_MS + usableMs + LimitedSite.MAX_MESSAGE_MS) * case.permille / 1_000_000 + 1
            val most = site.mostIn(WINDOW_MS, COUNTED_FROM_MS)
            assertTrue(most <= turns, "$most requests for $turns turns, $case")
            val sent = site.arrivals.count { it.host == 0 && it.atMs >= COUNTED_FROM_MS }
            val usual = LimitedSite(case.hosts, case.permille).run(END_MS).arrivals
                .count { it.host == 0 && it.atMs >= COUNTED_FROM_MS }
            assertTrue(sent <= usual * 1.1 + 2, "$sent of one host, $usual if it is not disturbed, $case")
        }
    }

    /** Guards against turns that two hosts or none take while they don't agree on the hosts. */
    @Test
    fun `all hosts keep to the limit while one of them starts or ends`() {
        data class Case(val hosts: Int, val permille: Long, val lastHostMs: LongRange, val seed: Long)
        val cases = listOf(2, 3, 8, 18).flatMap { hosts ->
            listOf(1_000L, 5_000L, 50_000L).flatMap { permille ->
                listOf(12_000L..Long.MAX_VALUE, 0L..12_000L).flatMap { lastHostMs ->
                    (1L..5L).map { Case(hosts, permille, lastHostMs, it) }
                }
            }
        }
        for (case in cases) {
            val site = LimitedSite(
                case.hosts,
                case.permille,
                serverNames = listOf("a"),
                lastHostMs = case.lastHostMs,
                seed = case.seed,
            ).run(END_MS)
            val most = site.mostIn(WINDOW_MS, COUNTED_FROM_MS)
            assertTrue(most <= allowed(case.permille), "$most requests, $case")
            val settledMs = 18_000L
            val sent = site.arrivals.count { it.atMs >= settledMs }
            val taken = minOf(case.permille / 1_000.0, 30.0 * (case.hosts - 1)) * (END_MS - settledMs) / 1_000
            assertTrue(sent >= taken * 0.7 - 2, "$sent of $taken, $case")
        }
    }

    /** Guards against a limit that never ends, or whose end lets all hosts send at once what has waited. */
    @Test
    fun `all hosts learn that a limit has ended and come back one after another`() {
        for (hosts in listOf(1, 7, 18)) {
            for (permille in listOf(0L, 1_000, 5_000)) {
                val site = LimitedSite(
                    hosts,
                    permille,
                    limitEndMs = 15_000,
                    serverNames = listOf("a"),
                    runMs = 1_000,
                ).run(END_MS + 10_000)
                assertEquals(0, site.limitedHosts(), "$hosts hosts, $permille permille")
                val endMs = assertNotNull(site.firstEndMs)
                val first = site.arrivals.count { it.atMs in endMs until endMs + 250 }
                // For 250 ms, each host has no more in flight than before, and one at least; runs last up to 2 s.
                assertTrue(
                    first <= hosts + 2 * permille / 1_000,
                    "$first requests at first, $hosts hosts, $permille permille",
                )
            }
        }
    }

    /** Guards against requests that wait for a turn after their deadline, and against a wrong Retry-After. */
    @Test
    fun `a request that gets no turn in time is refused at once with the time of the next`() {
        val hosts = (1..8).map { "h$it" }.toSet()
        val runAtOnce = hosts.count { host ->
            val scheduler = limitedScheduler(TurnShare(host, hosts))
            val first = scheduler.submit(request(1, deadlineMs = 500), 0)
            if (first is Placement.Run) return@count true
            val retryAfterMs = assertNotNull(assertIs<Placement.Refused>(first).error.retryAfterMs)
            assertEquals(0, retryAfterMs % 1_000, host)
            assertEquals(Placement.Queued, scheduler.submit(request(2, deadlineMs = 600_000), 0), host)
            assertEquals(emptyList(), scheduler.poll(retryAfterMs - 1), host)
            assertIs<Placement.Run>(scheduler.poll(retryAfterMs).single().placement, host)
            false
        }
        assertEquals(1, runAtOnce)
    }

    /** Guards against callers of a host that has just started, who were told to come back after a minute. */
    @Test
    fun `a host that does not know its share yet lets requests wait until it does`() {
        val scheduler = limitedScheduler(TurnShare("h1", emptySet()))
        val refused = assertIs<Placement.Refused>(scheduler.submit(request(1, deadlineMs = 500), 0))
        assertEquals(1_000, refused.error.retryAfterMs)
        assertEquals(Placement.Queued, scheduler.submit(request(2, deadlineMs = 600_000), 0))
        assertEquals(Placement.Queued, scheduler.submit(request(3, deadlineMs = 600_000), 0))
        assertEquals(emptyList(), scheduler.poll(900))
        scheduler.updateTable(
            table(limited("a", 1_000, heldMs = 1_000)).copy(turnShare = aloneShare, builtAtMs = 1_000),
        )
        assertIs<Placement.Run>(scheduler.poll(1_000).single().placement)
    }

    private val aloneShare = TurnShare("h1", setOf("h1"))

    private fun limitedScheduler(share: TurnShare) =
        DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
            .apply { updateTable(table(limited("a", 1_000)).copy(turnShare = share, builtAtMs = 0)) }

    /** Guards against a queued request that waits on for a server which has been limited since. */
    @Test
    fun `a queued request goes to another server when its own is limited`() {
        val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
        scheduler.updateTable(table(server("a", capacity = 1)))
        assertIs<Placement.Run>(scheduler.submit(request(1), 0))
        assertEquals(Placement.Queued, scheduler.submit(request(2), 1))
        val share = TurnShare("h1", emptySet())
        scheduler.updateTable(table(limited("a", 1_000), server("b")).copy(turnShare = share, builtAtMs = 2))
        val placed = assertIs<Placement.Run>(scheduler.poll(20).single().placement)
        assertEquals("b", placed.attempt.backendServer)
    }

    /** Guards against a limit of an earlier process that holds for the next one. */
    @Test
    fun `a new incarnation has no limit`() {
        val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
        val share = TurnShare("h1", emptySet())
        scheduler.updateTable(table(limited("a", 1_000)).copy(turnShare = share, builtAtMs = 0))
        assertEquals(1, scheduler.limitedServers)
        val next = server("a", incarnation = 2).copy(limit = ServerLimit("a", 1, 1_000, 0, 0))
        scheduler.updateTable(table(next).copy(turnShare = share, builtAtMs = 1))
        assertEquals(0, scheduler.limitedServers)
        assertIs<Placement.Run>(scheduler.submit(request(1), 2))
    }

    private companion object {
        const val WINDOW_MS = 4_000L

        /** Hosts have 5 s from the first statement on. */
        const val COUNTED_FROM_MS = LimitedSite.LIMIT_AT_MS + 5_000
        const val END_MS = 25_000L
    }
}
