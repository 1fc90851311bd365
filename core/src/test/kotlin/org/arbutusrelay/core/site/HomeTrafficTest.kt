package org.arbutusrelay.core.site

import org.arbutusrelay.core.route.HomeRequestCounters
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.schema.message.HomeRequests
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class HomeTrafficTest {
    private fun route(path: String, vararg homes: String, authority: String = "A.example") =
        Route(path, authority, "/$path/", RouteKind.IDEMPOTENT, 1_000, 500, 0, emptyList(), 1, false, homes.toList())

    private fun homesOf(vararg routes: Route) =
        NameHomesTable(RoutePlan(1, routes.toList(), emptyMap())).find("a.example") as NameHomes.Only

    /** Guards against a route that is hardly used and keeps all callers of its name from the homes of the others. */
    @Test
    fun `regions outside the homes of a few requests only are allowed`() {
        val homes = homesOf(route("free"), route("a", "x", "y"), route("b", "x"), route("c", "y"))
        data class Case(val both: Long, val x: Long, val y: Long, val expected: Set<String>)
        val cases = listOf(
            Case(0, 0, 0, emptySet()),
            Case(99, 0, 0, emptySet()),
            Case(100, 0, 0, setOf("x", "y")),
            Case(980, 10, 10, setOf("x", "y")),
            Case(960, 20, 20, setOf("x", "y")),
            Case(900, 50, 50, emptySet()),
            Case(900, 90, 10, setOf("x")),
            Case(0, 100, 0, setOf("x")),
            Case(0, 500, 500, emptySet()),
        )
        for (case in cases) {
            val requests = mapOf(setOf("x", "y") to case.both, setOf("x") to case.x, setOf("y") to case.y)
            assertEquals(case.expected, homes.withTraffic(requests).regions, "$case")
        }
    }

    /** Guards against shares that come from homes which a newer document has changed. */
    @Test
    fun `requests on homes that no route has any more are ignored`() {
        val homes = homesOf(route("a", "y"), route("b", "x"))
        assertEquals(emptySet(), homes.withTraffic(mapOf(setOf("x", "y") to 10_000L)).regions)
        val mixed = mapOf(setOf("x", "y") to 10_000L, setOf("y") to 100L)
        assertEquals(setOf("y"), homes.withTraffic(mixed).regions)
    }

    /** Guards against more than 1 in 20 requests led outside their homes, whatever the routes and their shares are. */
    @Test
    fun `an allowed region is a home of nearly all requests`() {
        val regions = listOf("x", "y", "z", "w")
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val sets = List(random.nextInt(1, 6)) { regions.filter { random.nextBoolean() }.ifEmpty { listOf("x") } }
            val homes = homesOf(*sets.mapIndexed { index, set -> route("r$index", *set.toTypedArray()) }.toTypedArray())
            val requests = sets.associate { it.toSet() to (1L shl random.nextInt(0, 16)) }
            val total = requests.values.sum()
            val strict = sets.map { it.toSet() }.reduce(Set<String>::intersect)
            for (region in homes.withTraffic(requests).regions - strict) {
                val outside = requests.filterKeys { region !in it }.values.sum()
                assertTrue(outside * 20 < total, "seed $seed: $region of $requests")
            }
        }
    }

    /** Guards against counts that mix names or homes, or that are reported twice. */
    @Test
    fun `an entry host counts the requests of each name and homes once`() {
        val routes = listOf(
            route("free"),
            route("a", "y", "x"),
            route("b", "x", "y"),
            route("c", "x"),
            route("d", "x", authority = "B"),
        )
        val counters = HomeRequestCounters(routes)
        routes.forEachIndexed { index, route -> repeat(index + 1) { counters.record(route) } }
        val expected = setOf(
            HomeRequests("a.example", listOf("x", "y"), 5),
            HomeRequests("a.example", listOf("x"), 4),
            HomeRequests("b", listOf("x"), 5),
        )
        assertEquals(expected, counters.take().toSet())
        assertEquals(emptyList(), counters.take())
    }

    /** Guards against shares of long ago, and against a name that is not found with a port or in other letter case. */
    @Test
    fun `requests are summed over the last two windows`() {
        val traffic = HomeTraffic()
        fun report(nowMs: Long, requests: Long) =
            traffic.record(listOf(HomeRequests("a.example", listOf("x"), requests)), nowMs)
        fun sum(nowMs: Long) = traffic.requests("A.example:80", nowMs)[setOf("x")] ?: 0
        report(0, 1)
        report(29_999, 10)
        assertEquals(11, sum(29_999))
        report(30_000, 100)
        assertEquals(111, sum(59_999))
        assertEquals(100, sum(60_000))
        assertEquals(0, sum(200_000))
        assertEquals(emptyMap(), traffic.requests("other.example", 0))
    }

    private companion object {
        const val SEEDS = 2_000
    }
}
