package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue

class OverloadOrderTest {
    private class Running(val attempt: PlacedAttempt, val endMs: Long)

    private val scheduler = DefaultRequestScheduler(
        callerOf = { null },
        settings = SchedulerSettings(rampMs = 1),
        serverSelector = FirstByteServerSelector(),
        regionSelector = FirstByteRegionSelector(),
    )

    private fun server(name: String) = BackendServerState(
        name, "drafting", "hue", "hue-a", name, 1, 1, SLOTS.toLong(), emptyList(), emptyList(), "", 0, 0, false, 3_000,
    )

    private fun request(number: Long, nowMs: Long, regions: List<String> = listOf("hue")) = RequestProfile(
        RequestId("hue-1", 1, number), "", "drafting", "draft", 1, false, nowMs + 10_000, regions,
        promptTokens = 800, isStream = true, targetMs = TARGET_MS, submittedAtMs = nowMs,
    )

    /**
     * Simulates the seconds after a restart, when a region gets one and a half times the requests that its servers can
     * handle. Guards against a queue in which every request is served after its target.
     */
    @Test
    fun `under overload most of the servable requests meet their target`() {
        scheduler.updateTable(RoutingTable("hue", "hue-a", List(2) { server("engine-$it") }))
        val running = ArrayList<Running>()
        val submittedMs = HashMap<RequestId, Long>()
        var inTime = 0
        fun start(attempt: PlacedAttempt, nowMs: Long) {
            if (nowMs - submittedMs.getValue(attempt.profile.id) <= TARGET_MS) inTime++
            scheduler.recordFirstByte(attempt, nowMs + 30)
            running += Running(attempt, nowMs + RUN_MS)
        }
        for (nowMs in 0L until DURATION_MS step GAP_MS) {
            val ended = running.filter { it.endMs <= nowMs }
            running -= ended.toSet()
            val profile = request(nowMs, nowMs)
            submittedMs[profile.id] = nowMs
            val freed = ended.flatMap { scheduler.complete(it.attempt, AttemptResult.COMPLETE, nowMs) }
            val submitted = scheduler.submit(profile, nowMs)
            val polled = if (nowMs % POLL_MS == 0L) scheduler.poll(nowMs) else emptyList()
            val placements = (freed + polled).map { it.placement } + submitted
            placements.filterIsInstance<Placement.Run>().forEach { start(it.attempt, nowMs) }
        }
        val servable = (DURATION_MS / RUN_MS * SLOTS * 2).toInt()
        assertTrue(inTime >= servable * 8 / 10, "$inTime in time of $servable servable requests")
    }

    /**
     * Simulates a region whose hosts have a queue that no announcement reports. Guards against forwarding more requests
     * there.
     */
    @Test
    fun `a region whose first bytes come late is avoided until it recovers`() {
        val regions = listOf("danang", "quangtri").associateWith { name ->
            RemoteRegion(
                name,
                RegionLink("hue", name, 55, 1),
                mapOf("drafting" to ServiceSummary("drafting", 4, 256, 0, 0, 0)),
                0,
            )
        }
        scheduler.updateTable(RoutingTable("hue", "hue-a", emptyList(), regions, sentAwayPermille = 1_000))
        fun forwardAt(nowMs: Long): Placement.Forward {
            val profile = request(nowMs, nowMs, listOf("danang", "quangtri"))
            return assertIs<Placement.Forward>(scheduler.submit(profile, nowMs))
        }
        val first = forwardAt(0)
        repeat(10) {
            val placement = forwardAt(it.toLong())
            val firstMs = if (placement.region == first.region) 2_000L else 150L
            scheduler.recordFirstByte(placement.attempt, it + firstMs)
        }
        val later = List(10) { forwardAt(2_100L + it).region }
        assertTrue(later.none { it == first.region }, "$later")
        val recovered = List(40) { forwardAt(20_000L + it).region }
        assertTrue(first.region in recovered, "$recovered")
    }

    private companion object {
        const val SLOTS = 16
        const val RUN_MS = 640L
        const val TARGET_MS = 600L

        /** 75 requests arrive each second; the two servers can handle 50. */
        const val GAP_MS = 13L
        const val POLL_MS = 26L
        const val DURATION_MS = 20_800L
    }
}
