package org.arbutusrelay.core.site

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.schema.message.HostState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EntryHostDirectoryTest {
    private fun host(name: String, region: String, zone: String, isLeaving: Boolean = false, address: String? = null) =
        HostState(name, region, zone, 1, 1, "", address ?: "$name:80", 0, 0, isLeaving, false)

    private fun route(name: String, path: String, vararg homes: String) =
        Route(path, name, "/$path/", RouteKind.IDEMPOTENT, 1_000, 500, 0, emptyList(), 1, false, homes.toList())

    private val table = NameHomesTable(
        RoutePlan(
            1,
            listOf(
                route("free.example", "a"),
                route("Home.example", "a", "hue", "danang"),
                route("mixed.example", "a"),
                route("mixed.example", "b", "hue", "danang"),
                route("narrow.example", "a", "hue", "danang"),
                route("narrow.example", "b", "danang", "quangtri"),
                route("disjoint.example", "a", "hue"),
                route("disjoint.example", "b", "danang"),
                route("one.example", "a", "hue"),
            ),
            emptyMap(),
        ),
    )

    private data class Case(
        val name: String,
        val region: String,
        val zone: String,
        val scope: DirectoryScope,
        val expected: Set<String> = emptySet(),
    )

    private fun check(hosts: List<HostState>, cases: List<Case>, homes: NameHomesTable = table) {
        for (case in cases) {
            val query = DirectoryQuery(case.name, case.region, case.zone)
            val answer = EntryHostDirectory.select(hosts, query, homes.find(case.name))
            assertEquals(case.expected.map { "$it:80" }.toSet(), answer.addresses.toSet(), "$case")
            assertEquals(case.scope, answer.scope, "$case")
        }
    }

    /** Guards against callers directed to a distant host, to a leaving host or all to the only host of their zone. */
    @Test
    fun `the nearest hosts that accept callers are returned`() = check(
        listOf(
            host("a1", "hue", "hue-a"),
            host("a2", "hue", "hue-a"),
            host("a3", "hue", "hue-a", isLeaving = true),
            host("b1", "hue", "hue-b"),
            host("d1", "danang", "danang-a"),
        ),
        listOf("free.example", "home.example", "one.example", "nobody.example", "").flatMap {
            listOf(
                Case(it, "hue", "hue-a", DirectoryScope.ZONE, setOf("a1", "a2")),
                Case(it, "hue", "hue-b", DirectoryScope.REGION, setOf("a1", "a2", "b1")),
                Case(it, "hue", "", DirectoryScope.REGION, setOf("a1", "a2", "b1")),
                Case(it, "hue", "elsewhere", DirectoryScope.REGION, setOf("a1", "a2", "b1")),
                Case(it, "danang", "danang-a", DirectoryScope.REGION, setOf("d1")),
            )
        },
    )

    /** Guards against callers directed to a region that is neither theirs nor a home of the name (HOME). */
    @Test
    fun `without a host in the region only homes of all routes of the name are returned`() {
        val hosts = listOf(
            host("a1", "hue", "hue-a", isLeaving = true),
            host("d1", "danang", "danang-a"),
            host("q1", "quangtri", "quangtri-a"),
        )
        val unknownRegions = listOf("" to "", "nowhere" to "nowhere-a", "" to "hue-a", "HUE" to "hue-a")
        check(
            hosts,
            listOf(
                Case("free.example", "hue", "hue-a", DirectoryScope.OTHER_REGION, setOf("d1", "q1")),
                Case("home.example", "hue", "hue-a", DirectoryScope.HOME, setOf("d1")),
                Case("HOME.example:8080", "hue", "hue-a", DirectoryScope.HOME, setOf("d1")),
                Case("mixed.example", "hue", "hue-a", DirectoryScope.HOME, setOf("d1")),
                Case("narrow.example", "hue", "hue-a", DirectoryScope.HOME, setOf("d1")),
                // The caller's own host that is about to stop, rather than nobody or a region that is no home.
                Case("disjoint.example", "hue", "hue-a", DirectoryScope.LEAVING, setOf("a1")),
                Case("one.example", "hue", "hue-a", DirectoryScope.LEAVING, setOf("a1")),
                Case("nobody.example", "hue", "hue-a", DirectoryScope.LEAVING, setOf("a1")),
                Case("", "hue", "hue-a", DirectoryScope.LEAVING, setOf("a1")),
                Case("nobody.example", "saigon", "saigon-a", DirectoryScope.NONE),
                Case("one.example", "saigon", "saigon-a", DirectoryScope.NONE),
            ) + unknownRegions.flatMap { (region, zone) ->
                listOf(
                    Case("free.example", region, zone, DirectoryScope.OTHER_REGION, setOf("d1", "q1")),
                    Case("home.example", region, zone, DirectoryScope.HOME, setOf("d1")),
                    Case("one.example", region, zone, DirectoryScope.NONE),
                    Case("nobody.example", region, zone, DirectoryScope.NONE),
                )
            },
        )
    }

    /** Guards against callers directed to other regions by a state host that does not know the homes yet. */
    @Test
    fun `without a document callers are directed to their own region only`() = check(
        listOf(host("a1", "hue", "hue-a"), host("d1", "danang", "danang-a", isLeaving = true)),
        listOf(
            Case("free.example", "hue", "hue-a", DirectoryScope.REGION, setOf("a1")),
            Case("free.example", "danang", "danang-a", DirectoryScope.LEAVING, setOf("d1")),
            Case("free.example", "quangtri", "quangtri-a", DirectoryScope.NONE),
            Case("free.example", "", "", DirectoryScope.NONE),
        ),
        NameHomesTable(null),
    )

    /** Guards against a stopping host that is named after it has closed its port. */
    @Test
    fun `a host without an address is not returned`() = check(
        listOf(host("a1", "hue", "hue-a", isLeaving = true, address = ""), host("a2", "hue", "hue-a", address = "")),
        listOf(Case("one.example", "hue", "hue-a", DirectoryScope.NONE)),
    )

    /** Guards against homes of an older document that are used once a newer one is known. */
    @Test
    fun `homes follow the document`() {
        val hosts = listOf(host("d1", "danang", "danang-a"), host("q1", "quangtri", "quangtri-a"))
        fun planOf(vararg homes: String) = NameHomesTable(RoutePlan(1, listOf(route("x", "a", *homes)), emptyMap()))
        check(hosts, listOf(Case("x", "hue", "hue-a", DirectoryScope.HOME, setOf("d1"))), planOf("danang"))
        check(hosts, listOf(Case("x", "hue", "hue-a", DirectoryScope.HOME, setOf("q1"))), planOf("quangtri"))
        check(hosts, listOf(Case("x", "hue", "hue-a", DirectoryScope.OTHER_REGION, setOf("d1", "q1"))), planOf())
        check(hosts, listOf(Case("x", "hue", "hue-a", DirectoryScope.NONE)), planOf("hue"))
    }

    /** Guards against hosts of a large region that callers of no zone use, and against lists that change as a whole. */
    @Test
    fun `zones get different hosts of a large region, and the same ones when a host leaves`() {
        val hosts = List(200) { host("h$it", "hue", "hue-x") }
        fun named(zone: String, known: List<HostState> = hosts): Set<String> {
            val query = DirectoryQuery("home.example", "hue", zone)
            return EntryHostDirectory.select(known, query, table.find("home.example")).addresses.toSet()
        }
        val zones = List(12) { named("hue-$it") }
        assertTrue(zones.reduce(Set<String>::union).size > 150, "${zones.reduce(Set<String>::union).size} hosts named")
        for (index in 1 until zones.size) assertTrue(zones[index].intersect(zones[0]).size < 48, "zone $index")
        val removed = named("hue-0").first()
        val rest = named("hue-0", hosts.filter { "${it.hostName}:80" != removed })
        assertEquals(63, rest.intersect(named("hue-0")).size)
    }

    /** Guards against a response longer than callers accept. */
    @Test
    fun `at most 64 hosts are returned`() {
        val hosts = List(200) { host("h$it", "danang", "danang-a") }
        val query = DirectoryQuery("home.example", "hue", "hue-a")
        val answer = EntryHostDirectory.select(hosts, query, table.find("home.example"))
        assertEquals(EntryHostDirectory.MAX_ADDRESSES, answer.addresses.toSet().size)
    }
}
