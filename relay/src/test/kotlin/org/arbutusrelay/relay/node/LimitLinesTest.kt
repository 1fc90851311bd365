package org.arbutusrelay.relay.node

import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServerLimit
import org.arbutusrelay.schema.message.SiteState
import kotlin.test.Test
import kotlin.test.assertEquals

class LimitLinesTest {
    private fun view(limit: ServerLimit?) = SiteView(
        SiteState(1, null, emptyList()),
        emptyList(),
        listOf(
            BackendServerState(
                "a", "svc", "hue", "hue-a", "a:1", 1, 1, 8, emptyList(), emptyList(), "", 0, 0, false, 3_000,
                limit = limit,
            ),
        ),
        0,
    )

    /** Guards against a limit that no line explains, and against a line for each response that repeats one. */
    @Test
    fun `a limit that is named, changed or ended is logged once`() {
        val limits = listOf(
            null,
            ServerLimit("a", 1, 1_000, 0, 0),
            ServerLimit("a", 1, 1_000, 10, 500),
            ServerLimit("a", 1, 2_000, 0, 1_000),
            ServerLimit("a", 1, null, 0, 0),
            ServerLimit("a", 1, null, 900, 900),
            null,
        )
        val lines = ArrayList<EventLine>()
        val log = SiteChangeLog { lines += it }
        limits.forEach { log.onView(view(it)) }
        val expected = listOf(null, 1_000L, 2_000L, null)
        val changes = lines.filter { it.event == EventLine.Event.BACKEND_SERVER_CHANGED }
        assertEquals(expected, changes.map { it.limitPermille })
    }
}
