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
    /** Guards against callers directed nowhere for a document that entry hosts replace by the one before it. */
    @Test
    fun `a document that cannot be read leaves the homes of the one before in force`() {
        val route = Route("r", "x", "/", RouteKind.IDEMPOTENT, 1_000, 500, 0, emptyList(), 1, false, listOf("danang"))
        val hosts = listOf("danang", "quangtri").map {
            HostState(it, it, "$it-a", 1, 1, "", "$it:80", 0, 0, false, false)
        }
        var number = 1L
        val records = listOf(1L, 2L).associateWith { DocumentRecord(it, "", ByteArray(1) { _ -> it.toByte() }) }
        val lookup = HostLookup(
            { SiteView(SiteState(number, records.getValue(number), emptyList()), hosts, emptyList(), 0) },
            { true },
            { content ->
                val isRead = content[0] == 1.toByte()
                if (isRead) {
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
        fun named() = lookup.lookUp(DirectoryQuery("x", "hue", "hue-a")).hosts.map { it.hostName }
        assertEquals(listOf("danang"), named())
        number = 2
        assertEquals(listOf("danang"), named())
    }
}
