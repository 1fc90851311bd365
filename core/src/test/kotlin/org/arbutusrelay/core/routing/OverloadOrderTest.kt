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

    private class Outcome(val inTime: Int, val served: Int, val refusedAfterMs: List<Long>)

    /** Sends a request every [GAP_MS] for [DURATION_MS]. */
    private fun simulate(): Outcome {
        scheduler.updateTable(RoutingTable("hue", "hue-a", List(2) { server("engine-$it") }))
        val running = ArrayList<Running>()
        val submittedMs = HashMap<RequestId, Long>()
        val refusedAfterMs = ArrayList<Long>()
        var inTime = 0
        var served = 0
        fun start(attempt: PlacedAttempt, nowMs: Long) {
            served++
            if (nowMs - submittedMs.getValue(attempt.profile.id) <= TARGET_MS) inTime++
            scheduler.recordFirstByte(attempt, nowMs + 30)
            running += Running(attempt, nowMs + RUN_MS)
        }
        for (nowMs in 0L until DURATION_MS step GAP_MS) {
            val ended = running.filter { it.endMs <= nowMs }
            running -= ended.toSet()
            val queued = ended.flatMap { scheduler.complete(it.attempt, AttemptResult.COMPLETE, nowMs) } +
                if (nowMs % POLL_MS == 0L) scheduler.poll(nowMs) else emptyList()
            for (each in queued) {
                when (val placement = each.placement) {
                    is Placement.Run -> start(placement.attempt, nowMs)
                    is Placement.Refused -> refusedAfterMs += nowMs - submittedMs.getValue(each.profile.id)
                    else -> Unit
                }
            }
            val profile = request(nowMs, nowMs)
            submittedMs[profile.id] = nowMs
            (scheduler.submit(profile, nowMs) as? Placement.Run)?.let { start(it.attempt, nowMs) }
        }
        return Outcome(inTime, served, refusedAfterMs)
    }

    /**
     * Simulates the seconds after a restart, when a region gets one and a half times the requests that its servers can
     * handle. Guards against a queue in which every request is served after its target.
     */
    @Test
    fun `under overload most of the servable requests meet their target`() {
        val inTime = simulate().inTime
        val servable = (DURATION_MS / RUN_MS * SLOTS * 2).toInt()
        assertTrue(inTime >= servable * 8 / 10, "$inTime in time of $servable servable requests")
    }

    /**
     * Simulates a load of one and a half times the capacity that lasts. Guards against requests that wait in vain until
     * their maximum wait has passed, and against refusals that leave servers idle.
     */
    @Test
    fun `requests that cannot be served any more are refused when they become late`() {
        val servable = (DURATION_MS / RUN_MS * SLOTS * 2).toInt()
        val lasting = simulate()
        val heldInVain = lasting.refusedAfterMs.count { it > TARGET_MS * 2 }
        assertTrue(lasting.refusedAfterMs.size > servable / 4, "${lasting.refusedAfterMs.size} refused")
        assertTrue(heldInVain * 4 < lasting.refusedAfterMs.size, "$heldInVain of ${lasting.refusedAfterMs.size}")
        assertTrue(lasting.served >= servable * 9 / 10, "${lasting.served} served of $servable servable requests")
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
