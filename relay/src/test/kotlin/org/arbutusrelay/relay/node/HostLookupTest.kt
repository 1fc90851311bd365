package org.arbutusrelay.relay.node

import arrow.core.right
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.site.DirectoryQuery
import org.arbutusrelay.core.site.HomeTraffic
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.HomeRequests
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteState
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class HostLookupTest {
    private val metrics = RelayMetrics()
    private val lines = mutableListOf<EventLine>()
    private var hosts = emptyList<HostState>()
    private var documentNumber = 1L
    private var isInTouch = true
    private val traffic = HomeTraffic()
    private var routes = listOf(route())
    private val lookup = HostLookup(
        {
            SiteView(
                SiteState(1, DocumentRecord(documentNumber, "", ByteArray(0)), emptyList()),
                hosts,
                emptyList(),
                1_000,
            )
        },
        { isInTouch },
        { RoutePlan(documentNumber, routes, emptyMap()).right() },
        metrics.directory(setOf("hue", "danang")),
        { lines += it },
        traffic,
        { 1_300 },
    )

    private fun host(name: String, region: String, zone: String, isLeaving: Boolean = false) =
        HostState(name, region, zone, 1, 1, "", "$name:80", 0, 0, isLeaving, false)

    private fun query(region: String, zone: String) = DirectoryQuery("x", region, zone)

    private fun route(vararg homes: String) =
        Route("r", "x", "/", RouteKind.IDEMPOTENT, 1_000, 500, 0, emptyList(), 1, false, homes.toList())

    /** Guards against homes of an old document, or of one from the disk that is no longer in force. */
    @Test
    fun `callers are directed to the homes of the confirmed document`() {
        hosts = listOf(host("d", "danang", "danang-a"), host("q", "quangtri", "quangtri-a"))
        fun named() = lookup.lookUp(query("hue", "hue-a")).hosts.map { it.hostName }
        isInTouch = false
        assertEquals(emptyList(), named())
        isInTouch = true
        assertEquals(setOf("d", "q"), named().toSet())
        documentNumber = 2
        routes = listOf(route("danang"))
        assertEquals(listOf("d"), named())
        documentNumber = 3
        routes = listOf(route("quangtri", "hue"))
        assertEquals(listOf("q"), named())
        assertContains(lines.last().detail.orEmpty(), "names with homes hue,quangtri;")
    }

    /** Guards against callers who are refused because a route that is hardly used has other homes. */
    @Test
    fun `callers are directed to the homes of nearly all requests`() {
        hosts = listOf(host("d", "danang", "danang-a"), host("q", "quangtri", "quangtri-a"))
        routes = listOf(route("hue", "danang"), route("quangtri"))
        fun named() = lookup.lookUp(query("hue", "hue-a")).hosts.map { it.hostName }
        assertEquals(emptyList(), named())
        traffic.record(
            listOf(HomeRequests("x", listOf("danang", "hue"), 990), HomeRequests("x", listOf("quangtri"), 10)),
            1_200,
        )
        assertEquals(listOf("d"), named())
    }

    /** Guards against a caller that is directed elsewhere without a trace, and against a line for each look-up. */
    @Test
    fun `a line tells when callers of a region are directed elsewhere`() {
        hosts = listOf(host("a", "hue", "hue-a"), host("b", "hue", "hue-a"), host("d", "danang", "danang-a"))
        repeat(3) { listOf("hue-a", "hue-b").forEach { lookup.lookUp(query("hue", it)) } }
        assertEquals(emptyList(), lines)

        hosts = listOf(host("a", "hue", "hue-a", isLeaving = true), host("d", "danang", "danang-a"))
        repeat(3) { lookup.lookUp(query("hue", "hue-a")) }
        lookup.lookUp(query("danang", "danang-a"))
        assertEquals(1, lines.size)
        assertEquals(300, lines.single().viewAgeMs)
        assertEquals("hue", lines.single().region)
        assertEquals("names without homes; accepting+leaving: danang 1+0 hue 0+1", lines.single().detail)

        hosts = listOf(host("a", "hue", "hue-a"))
        lookup.lookUp(query("hue", "hue-a"))
        assertEquals("region", lines.last().directedTo)
        assertEquals(2, lines.size)
    }

    /** Guards against a metric or a log that grows with whatever region names callers send. */
    @Test
    fun `regions that the site does not have are counted together`() {
        hosts = listOf(host("a", "hue", "hue-a"), host("b", "hue", "hue-a"))
        repeat(2) { lookup.lookUp(query("hue", "hue-a")) }
        repeat(100) { lookup.lookUp(query("region-$it", "zone-$it")) }
        val text = metrics.scrape()
        assertContains(text, "arbutus_directory_lookups_total{region=\"hue\",scope=\"zone\"} 2.0")
        assertFalse("region-1" in text)
        assertEquals(100.0, total(text, "arbutus_directory_lookups_total{region=\"unknown\""))
        assertContains(text, "arbutus_directory_view_age_seconds_count 102")
        assertEquals(true, lines.size <= 1)
    }

    private fun total(text: String, prefix: String) =
        text.lines().filter { it.startsWith(prefix) }.sumOf { it.substringAfterLast(' ').toDouble() }
}
