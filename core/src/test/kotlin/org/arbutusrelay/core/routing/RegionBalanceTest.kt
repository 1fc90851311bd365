package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Replays a region at its peak whose hosts each see a small part of the load, beside a region with free slots. */
class RegionBalanceTest {
    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        settings = SchedulerSettings(rampMs = 1),
        serverSelector = FirstByteServerSelector(),
        regionSelector = FirstByteRegionSelector(),
    )
    private var number = 0L

    private fun engine(name: String) = BackendServerState(
        name, "drafting", "hue", "hue-a", name, 1, 1, 24, emptyList(), emptyList(), "", 0, 0, false, 3_000,
    )

    private fun updateTable(hosts: Int, remoteRunning: Long = 0) {
        val summary = ServiceSummary("drafting", 10, REMOTE_SLOTS, remoteRunning, 0, 0)
        val remote = RemoteRegion("danang", RegionLink("hue", "danang", 55, 1), mapOf("drafting" to summary), 0)
        scheduler.updateTable(
            RoutingTable(
                "hue",
                "hue-a",
                List(10) { engine("engine-$it") },
                mapOf("danang" to remote),
                sentAwayPermille = 1_000,
                regionHosts = hosts,
            ),
        )
    }

    private fun submit(
        promptTokens: Int,
        priority: Int = 1,
        nowMs: Long = 0,
        regions: List<String> = REGIONS,
    ): Placement {
        val profile = RequestProfile(
            RequestId("hue-1", 1, ++number), "", "drafting", "k", priority, false, nowMs + 5_000, regions,
            promptTokens = promptTokens, isStream = true, targetMs = 800, submittedAtMs = nowMs,
        )
        return scheduler.submit(profile, nowMs)
    }

    /** Guards against long prompts that hold up all streams of a full region beside a region with free slots. */
    @Test
    fun `a host that uses most of its share sends long prompts to a region with free slots`() {
        data class Case(val hosts: Int, val remoteRunning: Long, val promptTokens: Int, val isForwarded: Boolean)
        val cases = listOf(
            Case(hosts = 30, remoteRunning = 0, promptTokens = 3_000, isForwarded = true),
            Case(hosts = 30, remoteRunning = 0, promptTokens = 600, isForwarded = false),
            Case(hosts = 30, remoteRunning = REMOTE_SLOTS * 7 / 10, promptTokens = 3_000, isForwarded = false),
            Case(hosts = 3, remoteRunning = 0, promptTokens = 3_000, isForwarded = false),
            Case(hosts = 0, remoteRunning = 0, promptTokens = 3_000, isForwarded = false),
        )
        for (case in cases) {
            val test = RegionBalanceTest()
            test.updateTable(case.hosts, case.remoteRunning)
            repeat(7) { assertIs<Placement.Run>(test.submit(700), "$case") }
            assertEquals(case.isForwarded, test.submit(case.promptTokens) is Placement.Forward, "$case")
        }
    }

    /**
     * Simulates engines that admit urgent requests first. Guards against waits of less urgent ones that are hidden by
     * the many urgent ones that did not wait.
     */
    @Test
    fun `the waits of less urgent requests count for these alone`() {
        updateTable(hosts = 0)
        repeat(20) { index ->
            val attempt = assertIs<Placement.Run>(submit(700, priority = index % 2, regions = listOf("hue"))).attempt
            scheduler.recordFirstByte(attempt, if (index % 2 == 0) 60 else 2_000)
        }
        assertIs<Placement.Run>(submit(700, priority = 0, nowMs = 2_000))
        assertIs<Placement.Forward>(submit(700, priority = 1, nowMs = 2_000))
    }

    /** Guards against servers that look idle because callers left before the first byte and no wait was recorded. */
    @Test
    fun `requests that waited in vain count as waits`() {
        updateTable(hosts = 0)
        val attempts = List(10) { assertIs<Placement.Run>(submit(700, regions = listOf("hue"))).attempt }
        attempts.forEach { scheduler.complete(it, AttemptResult.CANCELLED, 3_000) }
        assertIs<Placement.Forward>(submit(700, nowMs = 3_000))
        val leftAtOnce =
            List(30) { assertIs<Placement.Run>(submit(700, nowMs = 3_000, regions = listOf("hue"))).attempt }
        leftAtOnce.forEach { scheduler.complete(it, AttemptResult.CANCELLED, 3_010) }
        assertIs<Placement.Forward>(submit(700, nowMs = 3_010), "callers that leave at once tell nothing about waits")
    }

    /**
     * Simulates a minute of queueing. Guards against a fixed time that grows with the queue: the prediction for another
     * region uses it too, and nothing would be sent there.
     */
    @Test
    fun `queueing does not become a part of the fixed time to first byte`() {
        val model = FirstByteModel()
        repeat(200) { model.record(1_000.0 + it, 40 + (1_000.0 + it) * 0.025) }
        val baseMs = model.baseMs
        repeat(30) { model.record(1_000.0 + 10 * it, 800 + (1_000.0 + 10 * it) * 0.025) }
        assertTrue(model.predictMs(0.0) < baseMs + 400, "${model.predictMs(0.0)} ms after $baseMs ms")
    }

    private companion object {
        const val REMOTE_SLOTS = 240L
        val REGIONS = listOf("hue", "danang")
    }
}
