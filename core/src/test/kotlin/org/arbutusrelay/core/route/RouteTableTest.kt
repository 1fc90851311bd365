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

    /** Guards against a prefix that matches part of a segment, and against precedence of a shorter prefix. */
    @Test
    fun `the route with the longest matching prefix is found`() {
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

    /** Guards against an invalid document that is accepted. */
    @Test
    fun `each validation error of a plan is reported`() {
        data class Case(val plan: RoutePlan, val expected: String?)
        val valid = route("r", "/a/")
        val cases = listOf(
            Case(plan(valid), null),
            Case(plan(valid, route("s", "/a/")), "another route"),
            Case(plan(valid.copy(targets = listOf(RouteTarget("gone", 1)))), "does not exist"),
            Case(plan(valid.copy(targets = listOf(RouteTarget("svc", 0)))), "add up to 0"),
            Case(plan(valid.copy(targets = emptyList())), "add up to 0"),
            Case(plan(valid.copy(timeoutMs = 0)), "timeout is 0"),
            Case(plan(valid.copy(pathPrefix = "/a")), "slashes"),
        )
        for (case in cases) {
            val problems = case.plan.problems()
            if (case.expected == null) {
                assertEquals(emptyList(), problems)
            } else {
                assertTrue(problems.any { case.expected in it }, "$problems does not contain ${case.expected}")
            }
        }
    }

    /** Guards against a service of weight 0 that receives requests. */
    @Test
    fun `requests are distributed by weight`() {
        val weighted = route("r", "/a/").copy(
            targets = listOf(RouteTarget("none", 0), RouteTarget("most", 9), RouteTarget("few", 1)),
        )
        val counts = (0 until weighted.totalWeight).groupingBy(weighted::serviceFor).eachCount()
        assertEquals(mapOf("most" to 9, "few" to 1), counts)
    }
}
