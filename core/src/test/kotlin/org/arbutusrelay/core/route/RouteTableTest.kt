package org.arbutusrelay.core.route

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RouteTableTest {
    private fun route(name: String, prefix: String, authority: String = "a.example", weight: Int = 1) = Route(
        name, authority, prefix, RouteKind.IDEMPOTENT, 1_000, 300, 0, listOf(RouteTarget("svc", weight)), 1, false,
        emptyList(),
    )

    private fun plan(vararg routes: Route) = RoutePlan(1, routes.toList(), mapOf("svc" to RoutedService("svc")))

    /** Guards against a prefix that ends inside a path segment, and against a short prefix that hides a longer one. */
    @Test
    fun `the longest prefix that begins the path wins`() {
        val table = RouteTable(plan(route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", "b.example")))
        data class Case(val authority: String, val path: String, val expected: String?)
        val cases = listOf(
            Case("a.example", "/a/x", "short"),
            Case("a.example", "/a/b/x", "long"),
            Case("a.example", "/a/b", "short"),
            Case("a.example", "/ab/x", null),
            Case("A.Example", "/a/", "short"),
            Case("b.example", "/a/b/x", "other"),
            Case("c.example", "/a/x", null),
            Case("a.example", "/", null),
            Case("a.example", "", null),
        )
        cases.forEach { assertEquals(it.expected, table.find(it.authority, it.path)?.name, "$it") }
    }

    /** Guards against a document that is acknowledged although it cannot be obeyed. */
    @Test
    fun `each fault of a plan is named`() {
        data class Case(val plan: RoutePlan, val expected: String?)
        val good = route("r", "/a/")
        val cases = listOf(
            Case(plan(good), null),
            Case(plan(good, route("s", "/a/")), "another route"),
            Case(plan(good.copy(targets = listOf(RouteTarget("gone", 1)))), "does not exist"),
            Case(plan(good.copy(targets = listOf(RouteTarget("svc", 0)))), "add up to 0"),
            Case(plan(good.copy(targets = emptyList())), "add up to 0"),
            Case(plan(good.copy(timeoutMs = 0)), "timeout is 0"),
            Case(plan(good.copy(pathPrefix = "/a")), "slashes"),
        )
        for (case in cases) {
            val problems = case.plan.problems()
            if (case.expected == null) {
                assertEquals(emptyList(), problems)
            } else {
                assertTrue(problems.any { case.expected in it }, "$problems lacks ${case.expected}")
            }
        }
    }

    /** Guards against a service of weight 0 that gets requests. */
    @Test
    fun `requests are split by weight`() {
        val split = route("r", "/a/").copy(
            targets = listOf(RouteTarget("none", 0), RouteTarget("most", 9), RouteTarget("few", 1)),
        )
        val counts = (0 until split.totalWeight).groupingBy(split::serviceFor).eachCount()
        assertEquals(mapOf("most" to 9, "few" to 1), counts)
    }
}
