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
            val most = site.mostIn(WINDOW_MS, COUNTED_FROM_MS)
            assertTrue(most <= allowed(case.permille), "$most requests, $case")
            val mostOfOne = site.mostIn(WINDOW_MS, COUNTED_FROM_MS) { it.host == 0 }
            val share = case.permille * WINDOW_MS / 1_000 / 1_000.0 / case.hosts
            assertTrue(mostOfOne <= share * 1.1 + 2, "$mostOfOne of one host, $case")
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
        data class Case(val share: TurnShare, val deadlineMs: Long, val expected: String)
        val cases = listOf(
            Case(TurnShare(0, 1), 60_000, "Run"),
            Case(TurnShare(3, 8), 60_000, "Queued"),
            Case(TurnShare(3, 8), 2_500, "3000"),
            Case(TurnShare(7, 8), 6_900, "7000"),
            Case(TurnShare(0, 0), 60_000, "60000"),
        )
        for (case in cases) {
            val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
            val limitedTable = table(limited("a", 1_000)).copy(turnShares = mapOf("a" to case.share), builtAtMs = 0)
            scheduler.updateTable(limitedTable)
            val actual = when (val placement = scheduler.submit(request(1, deadlineMs = case.deadlineMs), 0)) {
                is Placement.Refused -> "${placement.error.retryAfterMs}"
                is Placement.Run -> "Run"
                else -> "$placement"
            }
            assertEquals(case.expected, actual, "$case")
        }
    }

    /** Guards against a queued request that waits on for a server which has been limited since. */
    @Test
    fun `a queued request goes to another server when its own is limited`() {
        val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
        scheduler.updateTable(table(server("a", capacity = 1)))
        assertIs<Placement.Run>(scheduler.submit(request(1), 0))
        assertEquals(Placement.Queued, scheduler.submit(request(2), 1))
        val share = mapOf("a" to TurnShare(1, 2))
        scheduler.updateTable(table(limited("a", 1_000), server("b")).copy(turnShares = share, builtAtMs = 2))
        val placed = assertIs<Placement.Run>(scheduler.poll(20).single().placement)
        assertEquals("b", placed.attempt.backendServer)
    }

    /** Guards against a limit of an earlier process that holds for the next one. */
    @Test
    fun `a new incarnation has no limit`() {
        val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
        val share = mapOf("a" to TurnShare(1, 2))
        scheduler.updateTable(table(limited("a", 1_000)).copy(turnShares = share, builtAtMs = 0))
        assertEquals(1, scheduler.limitedServers)
        val next = server("a", incarnation = 2).copy(limit = ServerLimit("a", 1, 1_000, 0, 0))
        scheduler.updateTable(table(next).copy(turnShares = share, builtAtMs = 1))
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
