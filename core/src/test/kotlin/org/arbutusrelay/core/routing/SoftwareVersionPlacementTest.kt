package org.arbutusrelay.core.routing

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Streams that must go on at one software version, beside requests that any server may run. */
class SoftwareVersionPlacementTest {
    private fun scheduler(vararg versions: String) =
        DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector()).apply {
            val servers = versions.mapIndexed { index, version ->
                server("s$index", capacity = 1).copy(softwareVersion = version)
            }
            updateTable(table(*servers.toTypedArray()))
        }

    private fun resumed(number: Long, version: String) =
        request(number).copy(softwareVersion = version, isResubmitted = true)

    /** Guards against a server of another version, and against a wait for one that does not exist. */
    @Test
    fun `a stream is placed at its version, queued for it or refused at once`() {
        data class Case(val version: String, val first: String?, val second: String)
        val cases = listOf(
            Case("v1", "s0", "Queued"),
            Case("v2", "s1", "Queued"),
            Case("v3", null, "NO_BACKEND_SERVER"),
        )
        for (case in cases) {
            val scheduler = scheduler("v1", "v2")
            val first = scheduler.submit(resumed(1, case.version), 0)
            assertEquals(case.first, (first as? Placement.Run)?.attempt?.backendServer, "$case")
            val second = scheduler.submit(resumed(2, case.version), 0)
            val actual = if (second is Placement.Refused) second.error.kind.name else "$second"
            assertEquals(case.second, actual, "$case")
        }
    }

    /** Guards against a stream that keeps all requests behind it waiting for the servers of its own version. */
    @Test
    fun `a stream that waits for its version does not block others, nor do they block it`() {
        val scheduler = scheduler("v1", "v2")
        val running = listOf("v1", "v2").mapIndexed { index, version ->
            assertIs<Placement.Run>(scheduler.submit(resumed(index + 1L, version), 0)).attempt
        }
        assertIs<Placement.Queued>(scheduler.submit(resumed(3, "v1"), 0))
        assertIs<Placement.Queued>(scheduler.submit(request(4), 0))
        assertIs<Placement.Queued>(scheduler.submit(resumed(5, "v2"), 0))
        val first = scheduler.complete(running[1], AttemptResult.COMPLETE, 10).single()
        assertEquals("s1", assertIs<Placement.Run>(first.placement).attempt.backendServer)
        val next = scheduler.complete(running[0], AttemptResult.COMPLETE, 20).single()
        assertEquals(3L, next.profile.id.requestNumber)
        assertEquals("s0", assertIs<Placement.Run>(next.placement).attempt.backendServer)
    }

    /** Guards against a stream that is forwarded to a region without a server of its version. */
    @Test
    fun `a stream is forwarded only to a region that has its version`() {
        data class Case(val versions: Set<String>?, val isForwarded: Boolean)
        val cases = listOf(Case(setOf("v1"), false), Case(setOf("v1", "v2"), true), Case(null, true))
        for (case in cases) {
            val versions = case.versions?.let { mapOf("drafting" to it) }.orEmpty()
            val scheduler = DefaultRequestScheduler({ null }, serverSelector = FirstByteServerSelector())
            val remote = SchedulerFixture.remote("danang").copy(softwareVersions = versions)
            scheduler.updateTable(table(server("s0").copy(softwareVersion = "v1"), remotes = listOf(remote)))
            // The share of requests that may be forwarded counts new ones.
            scheduler.submit(request(1), 0)
            val placement = scheduler.submit(request(2).copy(softwareVersion = "v2"), 0)
            assertEquals(case.isForwarded, placement is Placement.Forward, "$case: $placement")
        }
    }

    /** Guards against a queued stream that waits on after the last server of its version has left. */
    @Test
    fun `a queued stream is refused when the servers of its version leave`() {
        val scheduler = scheduler("v1", "v2")
        assertIs<Placement.Run>(scheduler.submit(resumed(1, "v1"), 0))
        assertIs<Placement.Queued>(scheduler.submit(resumed(2, "v1"), 0))
        scheduler.updateTable(table(server("s1", capacity = 1).copy(softwareVersion = "v2")))
        val refused = assertIs<Placement.Refused>(scheduler.poll(20).single().placement)
        assertEquals(ErrorKind.NO_BACKEND_SERVER, refused.error.kind)
    }

    /** Guards against a stream that is cut because it is silent although no server could go on with it. */
    @Test
    fun `a stream has another server only at its version`() {
        data class Case(val version: String?, val tried: Set<String>, val hasOther: Boolean)
        val cases = listOf(
            Case(null, setOf("s0", "s1", "s2"), true),
            Case("v1", setOf("s0"), true),
            Case("v1", setOf("s0", "s1"), false),
            Case("v2", setOf("s2"), false),
            Case("v3", emptySet(), false),
        )
        val scheduler = scheduler("v1", "v1", "v2")
        for (case in cases) {
            val profile = request(1).copy(softwareVersion = case.version, triedBackendServers = case.tried)
            assertEquals(case.hasOther, scheduler.hasOtherServer(profile, 0), "$case")
        }
    }
}
