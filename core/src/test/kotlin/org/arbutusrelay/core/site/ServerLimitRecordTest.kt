package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServerLimit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class ServerLimitRecordTest {
    private fun server(incarnation: Long = 1, version: Long = 1) = BackendServerState(
        "a", "drafting", "hue", "hue-a", "http://a", incarnation, version, 4, emptyList(), emptyList(), "", 0, 0, false,
        LEASE_MS,
    )

    private fun registry() = BackendServerRegistry(LEASE_MS).apply { announce(server(), 0) }

    private fun BackendServerRegistry.limit(nowMs: Long): Long? = states(nowMs).single().limit?.limitPermille

    private fun BackendServerRegistry.sinceMs(nowMs: Long): Long? = states(nowMs).single().limit?.let {
        nowMs -
            it.heldMs
    }

    /** A response to a request that was sent at [sentMs] and arrived at [atMs]. */
    private data class Response(val sentMs: Long, val atMs: Long, val permille: Long?, val incarnation: Long = 1)

    /** Guards against a limit that a late response ends, or that the server's own end doesn't. */
    @Test
    fun `a limit ends with a response to a request sent after it was last named`() {
        data class Case(val name: String, val responses: List<Response>, val expected: Long?)
        val cases = listOf(
            Case("named", listOf(Response(0, 100, 5)), 5),
            Case("ended", listOf(Response(0, 100, 5), Response(100, 200, null)), null),
            Case("sent before", listOf(Response(0, 100, 5), Response(99, 200, null)), 5),
            Case(
                "sent before the repetition",
                listOf(Response(0, 100, 5), Response(0, 300, 5), Response(200, 400, null)),
                5,
            ),
            Case("changed", listOf(Response(0, 100, 5), Response(100, 200, 7)), 7),
            Case("named anew", listOf(Response(0, 100, 5), Response(100, 200, null), Response(201, 300, 6)), 6),
            Case("named late", listOf(Response(0, 100, 5), Response(100, 200, null), Response(0, 300, 6)), 6),
            Case("an earlier process", listOf(Response(0, 100, 5, incarnation = 0)), null),
            Case(
                "end of an earlier process",
                listOf(Response(0, 100, 5), Response(200, 300, null, incarnation = 0)),
                5,
            ),
            Case("none", listOf(Response(0, 100, null)), null),
        )
        for (case in cases) {
            val registry = registry()
            case.responses.forEach { registry.recordLimit("a", it.incarnation, it.permille, it.sentMs, it.atMs) }
            assertEquals(case.expected, registry.limit(500), case.name)
        }
    }

    /** Guards against hosts that are not told of a change, and against messages about limits that stay the same. */
    @Test
    fun `only a new, changed or ended limit is told at once`() {
        val registry = registry()
        val isTold = listOf(
            Response(0, 100, null),
            Response(0, 110, 5),
            Response(0, 120, 5),
            Response(50, 130, null),
            Response(150, 200, 6),
            Response(201, 300, null),
            Response(301, 400, null),
            Response(401, 500, 1_000),
            Response(501, 600, 1_099),
            Response(601, 700, 900),
        ).map { registry.recordLimit("a", 1, it.permille, it.sentMs, it.atMs) }
        assertEquals(listOf(false, true, false, false, true, true, false, true, false, true), isTold)
    }

    /** Guards against an old statement that replaces a newer one, and against a limit that nobody renews. */
    @Test
    fun `the newest statement of all hosts holds`() {
        data class Case(val name: String, val news: List<ServerLimit>, val expected: Long?)
        fun news(ageMs: Long, permille: Long?, incarnation: Long = 1) = ServerLimit("a", incarnation, permille, ageMs)
        val cases = listOf(
            Case("unknown here", listOf(news(500, 5)), 5),
            Case("a newer value", listOf(news(500, 5), news(400, 6)), 6),
            Case("an older value", listOf(news(400, 6), news(500, 5)), 6),
            Case("an end after it", listOf(news(500, 5), news(400, null)), null),
            Case("an end before it", listOf(news(500, 5), news(600, null)), 5),
            Case("an older limit after the end", listOf(news(400, null), news(500, 5)), null),
            Case("another process", listOf(news(400, 5, incarnation = 2)), null),
            Case("expired", listOf(news(LimitRecord.EXPIRY_MS, 5)), null),
        )
        for (case in cases) {
            val registry = registry()
            case.news.forEach { registry.merge(it, 100_000) }
            assertEquals(case.expected, registry.limit(100_000), case.name)
        }
    }

    /** Guards against hosts that count turns from different times, or keep a limit alive by passing it on. */
    @Test
    fun `hosts agree on the time from which turns are counted, and none renews a limit by passing it on`() {
        val first = registry()
        val second = registry()
        first.recordLimit("a", 1, 5, 0, 1_000)
        second.recordLimit("a", 1, 5, 0, 1_200)
        for (nowMs in 2_000L..LimitRecord.EXPIRY_MS step 3_000) {
            listOf(first to second, second to first).forEach { (from, to) ->
                from.states(nowMs).single().limit?.let { to.merge(it, nowMs + 50) }
            }
            // The time on the way counts once at most.
            assertEquals(true, (first.sinceMs(nowMs)!! - second.sinceMs(nowMs)!!) in -60L..60L)
        }
        assertEquals(listOf(null, null), listOf(first, second).map { it.limit(LimitRecord.EXPIRY_MS + 2_500) })
    }

    /** Guards against a limit that outlives its process, or one that an announcement of the same process ends. */
    @Test
    fun `a limit belongs to an incarnation`() {
        val registry = registry()
        registry.recordLimit("a", 1, 5, 0, 100)
        registry.announce(server(version = 2), 200)
        assertEquals(5, registry.limit(200))
        registry.announce(server(incarnation = 2), 300)
        assertNull(registry.limit(300))
    }

    private companion object {
        const val LEASE_MS = 1_000_000L
    }
}
