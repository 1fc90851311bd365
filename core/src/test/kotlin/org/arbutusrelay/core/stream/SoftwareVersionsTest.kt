package org.arbutusrelay.core.stream

import org.arbutusrelay.schema.message.BackendServerState
import kotlin.test.Test
import kotlin.test.assertEquals

class SoftwareVersionsTest {
    private fun server(version: String, startWallMs: Long = 0) = BackendServerState(
        "i-$version-$startWallMs", "svc", "hue", "hue-a", "10.0.0.1:80", startWallMs, 1, 8, emptyList(), emptyList(),
        "", 0, 0, false, 3_000, softwareVersion = version,
    )

    /** Guards against a stream of unknown origin that goes on at a version which may not have begun it. */
    @Test
    fun `a stream is assigned to a version only if no other can have begun it`() {
        class View(val atMs: Long, vararg val servers: BackendServerState)
        class Case(val name: String, val views: List<View>, val atMs: Long, val wallMs: Long, val only: String?)
        val old = 1_000_000L
        val cases = listOf(
            Case("one version for long", listOf(View(0, server("v1"))), 15_000, old, "v1"),
            Case("a host that has just started", listOf(View(0, server("v1", old - 9_000))), 3_000, old, null),
            Case("and servers that run for long", listOf(View(0, server("v1", old - 90_000))), 3_000, old, "v1"),
            Case("before all have announced themselves", listOf(View(0, server("v1", 0))), 2_000, old, null),
            Case("two versions", listOf(View(0, server("v1"), server("v2"))), 20_000, old, null),
            Case(
                "a version that left lately",
                listOf(View(0, server("v1")), View(9_000, server("v1"), server("v2")), View(9_500, server("v2"))),
                20_000,
                old,
                null,
            ),
            Case(
                "a version that left long ago",
                listOf(View(0, server("v1"), server("v2")), View(100, server("v2")), View(15_200, server("v2"))),
                15_200,
                old,
                "v2",
            ),
            Case("an unknown service", emptyList(), 20_000, old, null),
            Case("servers that state none", listOf(View(0, server(""))), 20_000, old, ""),
        )
        for (case in cases) {
            val versions = SoftwareVersions(startMs = 0)
            case.views.forEach { versions.update(it.servers.toList(), it.atMs) }
            assertEquals(case.only, versions.only("svc", case.atMs, case.wallMs), case.name)
        }
    }

    /** Guards against origins that are kept for ever, or replaced by those of a later attempt. */
    @Test
    fun `the table forgets old streams and those beyond its bound`() {
        val table = StreamOriginTable(maxStreams = 2)
        val origin = StreamOrigin("svc", "v1")
        table.record("a", origin, 0)
        table.record("a", StreamOrigin("svc", "v2"), 1)
        assertEquals(origin, table.find("a", StreamOriginTable.RETENTION_MS))
        assertEquals(null, table.find("a", StreamOriginTable.RETENTION_MS + 1))
        listOf("b", "c").forEach { table.record(it, origin, 10) }
        assertEquals(listOf(null, origin, origin), listOf("a", "b", "c").map { table.find(it, 10) })
        val longId = "x".repeat(StreamOriginTable.MAX_ATTEMPT_ID_CHARACTERS)
        assertEquals(listOf(true, false), listOf(longId, longId + "x").map { table.record(it, origin, 10) })
        assertEquals(null, table.find(longId + "x", 10))
        table.record("d", origin, 11 + StreamOriginTable.RETENTION_MS)
        assertEquals(1, table.size)
    }
}
