package org.arbutusrelay.core.consensus

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class ElectionAfterRestartTest {
    private val regions = listOf(1, 1, 2, 2, 3)
    private val seeds =
        System.getProperty("electionSeeds", "1..50").split("..").map { it.toLong() }.let { it.first()..it.last() }

    /** Guards against elections that end one another while the votes pass slow disks, so that no leader is found. */
    @Test
    fun `replicas that all restart elect a leader in time`() {
        val cases = listOf(
            Case("sound disks", ACK_MS, ElectionDelays(::linkMs, { _, random -> random.nextLong(1, 5) })),
            Case("slow disks", ACK_MS, ElectionDelays(::linkMs, { _, random -> random.nextLong(100, 200) })),
            Case("messages sent again", ACK_MS, ElectionDelays(::lossyLinkMs, { _, random -> random.nextLong(1, 5) })),
            Case("one hears nothing", ACK_MS, ElectionDelays(::oneWayLinkMs, { _, random -> random.nextLong(1, 5) })),
            Case("disks at 0.5 s", RECOVERY_MS, ElectionDelays(::linkMs, { _, random -> random.nextLong(300, 700) })),
            Case(
                "slow disks and late processes",
                RECOVERY_MS,
                ElectionDelays(::linkMs, { _, random -> random.nextLong(200, 400) }) { _, _, random ->
                    if (random.nextInt(10) == 0) random.nextLong(0, 300) else 0
                },
            ),
        )
        checkAll(cases)
    }

    /** Guards against elections that never succeed because a vote takes longer than the election timeout. */
    @Test
    fun `replicas whose votes take longer than the election timeout elect a leader in time`() {
        val delays = ElectionDelays(::linkMs, { _, random -> random.nextLong(500, 900) })
        checkAll(listOf(Case("disks at 0.7 s", RECOVERY_MS, delays)))
    }

    /** Guards against an allowance for slow disks that delays the election after the loss of a leader. */
    @Test
    fun `replicas whose leader is killed elect another in time`() {
        val syncs = listOf(1L..5L to ACK_MS, 100L..200L to ACK_MS, 300L..700L to RECOVERY_MS, 500L..900L to RECOVERY_MS)
        val late = syncs.flatMap { (syncMs, boundMs) ->
            val delays = ElectionDelays(::linkMs, { _, random -> random.nextLong(syncMs.first, syncMs.last) })
            val times = seeds.map { it to ElectionSimulation(it, delays).run(END_MS).killLeader(END_MS) }
            val sorted = times.map { it.second }.sorted()
            println("leader killed, syncs of $syncMs ms: median ${sorted[sorted.size / 2]} ms, max ${sorted.last()} ms")
            times.filter { it.second > boundMs }.map { (seed, tookMs) -> "syncs of $syncMs ms, seed $seed: $tookMs ms" }
        }
        assertTrue(late.isEmpty(), "${late.size} late: ${late.take(20).joinToString("; ")}")
    }

    private fun checkAll(cases: List<Case>) {
        val late = cases.flatMap { case ->
            seeds.mapNotNull { seed ->
                val run = ElectionSimulation(seed, case.delays).run(END_MS)
                val tookMs = (run.firstCommitMs ?: END_MS) - run.startedMs
                "${case.name}, seed $seed: $tookMs ms, ${run.terms} terms".takeIf { tookMs > case.boundMs }
            }
        }
        assertTrue(late.isEmpty(), "${late.size} late: ${late.take(20).joinToString("; ")}")
    }

    /** One-way delays of the sheets: 55 ms between regions, and up to 1.4 ms within one. */
    private fun linkMs(from: Int, to: Int, random: Random): Long =
        if (regions[from] == regions[to]) random.nextLong(1, 3) else random.nextLong(55, 58)

    /** One message in five is sent again after the shortest time of TCP and a round trip. */
    private fun lossyLinkMs(from: Int, to: Int, random: Random): Long =
        linkMs(from, to, random) + if (random.nextInt(5) == 0) 310 else 0

    private fun oneWayLinkMs(from: Int, to: Int, random: Random): Long? =
        linkMs(from, to, random).takeIf { to != 0 }

    private class Case(val name: String, val boundMs: Long, val delays: ElectionDelays)

    private companion object {
        /** Time for the acknowledgement of a change, from the sheets (`ack_ms`). */
        const val ACK_MS = 6_000L

        /** Time for the recovery from the loss of all machines, from the sheets (`recovery_s`). */
        const val RECOVERY_MS = 12_000L
        const val END_MS = 40_000L
    }
}
