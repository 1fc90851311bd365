package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class RegionSpilloverTest {
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        settings = SchedulerSettings(rampMs = 1),
        serverSelector = FirstByteServerSelector(),
        regionSelector = FirstByteRegionSelector(),
    )
    private var number = 0L

    private fun engine(name: String, region: String = "hue") = BackendServerState(
        name, "drafting", region, "$region-a", name, 1, 1, 64, emptyList(), emptyList(), "", 0, 0, false, 3_000,
    )

    private fun region(name: String, vararg services: ServiceSummary) =
        RemoteRegion(name, RegionLink("hue", name, 55, 1), services.associateBy { it.service }, 0)

    private fun summary(service: String, capacity: Long, queued: Long = 0) =
        ServiceSummary(service, 1, capacity, 0, queued, 0)

    private fun table(servers: List<BackendServerState>, vararg regions: RemoteRegion) = RoutingTable(
        "hue",
        "hue-a",
        servers,
        regions.associateBy { it.name },
        sentAwayPermille = 1_000,
    )

    private fun submit(service: String, regions: List<String>, promptTokens: Int = 0): Placement = scheduler.submit(
        RequestProfile(
            RequestId("hue-1", 1, ++number), "", service, "k", 1, false, 5_000, regions,
            promptTokens = promptTokens, isStream = promptTokens > 0, targetMs = 600,
        ),
        0,
    )

    /**
     * Simulates a region that is cut off: connections to it time out. Guards against requests that lose a second each
     * although another region, or a refusal at once, would serve their callers better.
     */
    @Test
    fun `a region that cannot be connected to is given up after a few attempts`() {
        scheduler.updateTable(table(emptyList(), region("danang", summary("drafting", 256))))
        val attempts = List(3) { assertIs<Placement.Forward>(submit("drafting", listOf("danang"), 700)).attempt }
        attempts.forEach { scheduler.complete(it, AttemptResult.UNREACHABLE, 0) }
        assertIs<Placement.Refused>(submit("drafting", listOf("danang"), 700))
    }

    /**
     * Simulates a region without a server of a plain service beside streams that must run in another region. Guards
     * against counting streams in flight against the few slots of the plain service there.
     */
    @Test
    fun `requests of one service do not use up the remote slots of another`() {
        scheduler.updateTable(
            table(emptyList(), region("danang", summary("drafting", 256), summary("bulletin", 6))),
        )
        repeat(40) { assertIs<Placement.Forward>(submit("drafting", listOf("danang"), 700)) }
        repeat(6) { assertIs<Placement.Forward>(submit("bulletin", listOf("hue", "danang")), "request $it") }
    }

    /**
     * Simulates a burst of prompts in one region. Guards against a queue in this region beside idle engines in another.
     */
    @Test
    fun `a burst spills over to the region with the earlier first byte`() {
        scheduler.updateTable(table(List(2) { engine("e$it") }, region("danang", summary("drafting", 256))))
        val placements = List(40) { submit("drafting", listOf("hue", "danang"), 9_000) }
        val forwarded = placements.count { it is Placement.Forward }
        assertTrue(placements.take(2).all { it is Placement.Run }, "the first requests stay in the region")
        assertTrue(forwarded in 10..35, "$forwarded of 40")
    }

    /**
     * Guards against an idle host that uses the time of its last call as the current time and therefore ends the
     * cold-start rate limit too early.
     */
    @Test
    fun `a cold server is rate limited until the time that follows from the table`() {
        val cold = engine("cold").copy(coldMs = 1_000)
        submit("drafting", listOf("hue"), 700)
        scheduler.updateTable(table(listOf(cold)).copy(builtAtMs = 900))
        val profile = RequestProfile(
            RequestId("hue-1", 1, ++number), "", "drafting", "k", 1, false, 5_000, listOf("hue"),
            promptTokens = 700, isStream = true, targetMs = 600, submittedAtMs = 1_500,
        )
        assertIs<Placement.Queued>(scheduler.submit(profile, 1_500))
        assertIs<Placement.Run>(scheduler.poll(1_901).single().placement)
    }

    /** Guards against spillover to regions that are not allowed or are as busy as this one. */
    @Test
    fun `a burst stays in the region when no better region is allowed`() {
        data class Case(val regions: List<String>, val queued: Long)
        for (case in listOf(Case(listOf("hue"), 0), Case(listOf("hue", "danang"), 60))) {
            scheduler.updateTable(
                table(
                    List(2) {
                        engine("e$it")
                    },
                    region("danang", summary("drafting", 256, case.queued)),
                ),
            )
            val placements = List(20) { submit("drafting", case.regions, 9_000) }
            assertEquals(0, placements.count { it is Placement.Forward }, "$case")
        }
    }
}
