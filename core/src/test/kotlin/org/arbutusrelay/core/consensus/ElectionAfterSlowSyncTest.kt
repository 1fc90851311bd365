package org.arbutusrelay.core.consensus

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class ElectionAfterSlowSyncTest {
    private val regions = listOf(1, 1, 2, 2, 3)

    /** Guards against an election that waits for disks that were slow at an earlier write and are fast again. */
    @Test
    fun `disks that were slow before delay no election`() {
        val fast = times(before = 1L..5L, after = 1L..5L)
        val recovered = times(before = 500L..900L, after = 1L..5L)
        println("killed leader, always fast: ${summary(fast)}; slow before: ${summary(recovered)}")
        assertTrue(recovered.average() <= fast.average() * MAX_RATIO, "${summary(recovered)} vs ${summary(fast)}")
    }

    /** Guards against one hanging disk that delays the election of the others. */
    @Test
    fun `a disk that hangs does not delay the election of the others`() {
        val hanging = times(before = 1L..5L, after = 1L..5L, hangingHost = 1)
        println("killed leader, one disk hangs: ${summary(hanging)}")
        assertTrue(hanging.max() <= ACK_MS, summary(hanging))
    }

    private fun times(before: LongRange, after: LongRange, hangingHost: Int = -1): List<Long> = (1L..200L).map { seed ->
        var isAfter = false
        val delays = ElectionDelays(::linkMs, { host, random ->
            val range = if (isAfter) after else before
            if (isAfter && host == hangingHost) HANG_MS else random.nextLong(range.first, range.last)
        })
        val simulation = ElectionSimulation(seed, delays).run(END_MS)
        isAfter = true
        simulation.killLeader(END_MS)
    }

    private fun summary(times: List<Long>) =
        "median ${times.sorted()[times.size / 2]}, p95 ${times.sorted()[times.size * 95 / 100]}, max ${times.max()} ms"

    private fun linkMs(from: Int, to: Int, random: Random): Long =
        if (regions[from] == regions[to]) random.nextLong(1, 3) else random.nextLong(55, 58)

    private companion object {
        const val MAX_RATIO = 1.3
        const val ACK_MS = 6_000L
        const val END_MS = 40_000L
        const val HANG_MS = 1_000_000L
    }
}
