package org.arbutusrelay.relay.node

import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.site.DirectoryQuery
import org.arbutusrelay.core.site.HomeTraffic
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.message.DocumentRecord
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteState
import kotlin.test.Test
import kotlin.test.assertEquals

class UnreadDocumentLookupTest {
    private val route =
        Route("r", "x", "/", RouteKind.IDEMPOTENT, 1_000, 500, 0, emptyList(), 1, false, listOf("danang"))
    private val hosts = listOf("danang", "quangtri").map {
        HostState(it, it, "$it-a", 1, 1, "", "$it:80", 0, 0, false, false)
    }
    private val records = listOf(1L, 2L).associateWith { DocumentRecord(it, "", ByteArray(1) { _ -> it.toByte() }) }
    private val parsedNumbers = mutableListOf<Long>()
    private var number = 1L
    private var isInTouch = true
    private val lookup = HostLookup(
        { SiteView(SiteState(number, records.getValue(number), emptyList()), hosts, emptyList(), 0) },
        { isInTouch },
        { content ->
            parsedNumbers += content[0].toLong()
            if (content[0] == 1.toByte()) {
                RoutePlan(1, listOf(route), emptyMap()).right()
            } else {
                RelayError(ErrorKind.MANIFEST_INVALID).left()
            }
        },
        RelayMetrics().directory(setOf("hue")),
        { },
        HomeTraffic(),
        { 0 },
    )

    private fun named() = lookup.lookUp(DirectoryQuery("x", "hue", "hue-a")).hosts.map { it.hostName }

    /** Guards against callers directed nowhere for a document that entry hosts replace by the one before it. */
    @Test
    fun `a document that cannot be read leaves the homes of the one before in force`() {
        assertEquals(listOf("danang"), named())
        number = 2
        assertEquals(listOf("danang"), named())
    }

    /** Guards against homes that a state host no longer knows after its view was incomplete for a moment. */
    @Test
    fun `the homes of the last readable document outlast an incomplete view`() {
        assertEquals(listOf("danang"), named())
        number = 2
        repeat(2) {
            isInTouch = true
            assertEquals(listOf("danang"), named())
            isInTouch = false
            assertEquals(emptyList(), named())
        }
        assertEquals(listOf(1L, 2L), parsedNumbers)
    }
}
