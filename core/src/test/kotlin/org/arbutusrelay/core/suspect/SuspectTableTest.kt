package org.arbutusrelay.core.suspect

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against rejected innocent requests, and against a request that keeps crashing backend servers. */
class SuspectTableTest {
    private class Crash(val server: String, val inFlight: List<String>)

    @Test
    fun `the verdict depends on shared and sole crashes`() {
        val shared = Crash("a", listOf("guilty", "innocent"))
        val secondShared = Crash("b", listOf("guilty", "innocent"))
        val alone = Crash("c", listOf("guilty"))
        val secondAlone = Crash("d", listOf("guilty"))
        val cases = listOf(
            listOf(shared) to (SuspectVerdict.ISOLATE to SuspectVerdict.ISOLATE),
            listOf(shared, secondShared) to (SuspectVerdict.ISOLATE to SuspectVerdict.ISOLATE),
            listOf(shared, alone) to (SuspectVerdict.REFUSE to SuspectVerdict.ISOLATE),
            listOf(alone) to (SuspectVerdict.ISOLATE to SuspectVerdict.CLEAR),
            listOf(alone, alone) to (SuspectVerdict.ISOLATE to SuspectVerdict.CLEAR),
            listOf(alone, secondAlone) to (SuspectVerdict.REFUSE to SuspectVerdict.CLEAR),
        )
        for ((crashes, expected) in cases) {
            val table = SuspectTable()
            crashes.forEachIndexed { i, crash -> table.recordCrash(crash.server, 1, crash.inFlight, i.toLong()) }
            assertEquals(expected, table.verdict("guilty", 9) to table.verdict("innocent", 9))
        }
    }

    /** Guards against a request that crashes one server after another but never runs alone on a busy service. */
    @Test
    fun `a request in flight in four crashes is rejected, unless it completed in between`() {
        val hosts = List(2) { SuspectTable() }
        (1..4L).forEach { incarnation ->
            val nowMs = 10 * incarnation
            val reports = hosts[(incarnation % 2).toInt()].recordCrash(
                "a",
                incarnation,
                listOf("guilty", "innocent"),
                nowMs,
            )
            repeat(2) { hosts.forEach { host -> reports.forEach { host.merge(it, nowMs) } } }
            val expected = if (incarnation < 4) SuspectVerdict.ISOLATE else SuspectVerdict.REFUSE
            assertEquals(List(2) { expected }, hosts.map { it.verdict("guilty", nowMs) }, "after crash $incarnation")
            if (incarnation == 2L) {
                val cleared = hosts[0].recordCompletion("innocent", nowMs + 1)
                cleared?.let { hosts[1].merge(it, nowMs + 1) }
            }
        }
        assertEquals(List(2) { SuspectVerdict.ISOLATE }, hosts.map { it.verdict("innocent", 50) })
    }

    @Test
    fun `a completed request is cleared on every host`() {
        val (here, there) = SuspectTable() to SuspectTable()
        val reports = here.recordCrash("a", 1, listOf("x", "y"), 0)
        reports.forEach { there.merge(it, 100) }
        there.recordCompletion("x", 200)?.let { here.merge(it, 300) }
        reports.forEach { there.merge(it.copy(ageMs = 300), 300) }
        assertEquals(
            listOf(SuspectVerdict.CLEAR, SuspectVerdict.ISOLATE),
            listOf("x", "y").map {
                here.verdict(it, 300)
            },
        )
        assertEquals(SuspectVerdict.CLEAR, there.verdict("x", 300))
    }

    @Test
    fun `a rejection is reverted if another host had a request in the same crash`() {
        val table = SuspectTable()
        table.recordCrash("a", 1, listOf("innocent", "guilty"), 0)
        table.recordCrash("b", 1, listOf("innocent"), 10)
        assertEquals(SuspectVerdict.REFUSE, table.verdict("innocent", 10))
        SuspectTable().recordCrash("b", 1, listOf("guilty"), 10).forEach { table.merge(it, 20) }
        assertEquals(SuspectVerdict.ISOLATE, table.verdict("innocent", 20))
    }

    @Test
    fun `records expire and the table is bounded`() {
        val table = SuspectTable(SuspectLimits(maxSuspects = 10, lifetimeMs = 1_000))
        repeat(50) { table.recordCrash("a", it.toLong(), listOf("x$it"), it.toLong()) }
        assertEquals(10, table.size)
        assertEquals(SuspectVerdict.ISOLATE, table.verdict("x49", 1_000))
        assertEquals(SuspectVerdict.CLEAR, table.verdict("x49", 1_049))
        assertTrue(table.states(1_049).isEmpty())
    }

    @Test
    fun `in random runs on several hosts only the guilty request is rejected`() {
        for (seed in 1..500) {
            val random = Random(seed)
            val hosts = List(3) { SuspectTable() }
            var incarnation = 0L
            while (hosts.any { it.verdict("guilty", 100 * incarnation) != SuspectVerdict.REFUSE }) {
                assertTrue(++incarnation < 500, "seed $seed: the guilty request was never rejected")
                crash(hosts, incarnation, random)
                val nowMs = 100 * incarnation + 60
                val refused = hosts.flatMap { host ->
                    INNOCENT.filter { host.verdict(it, nowMs) == SuspectVerdict.REFUSE }
                }
                assertTrue(refused.isEmpty(), "seed $seed: $refused rejected")
            }
        }
    }

    /** Runs the guilty request on a random host as its table allows; some reports are lost, some others complete. */
    private fun crash(hosts: List<SuspectTable>, incarnation: Long, random: Random) {
        val nowMs = 100 * incarnation
        val host = hosts.random(random)
        val isShared = host.verdict("guilty", nowMs) == SuspectVerdict.CLEAR
        val candidates = INNOCENT.filter { isShared && random.nextInt(3) == 0 }
        val companions = candidates.filter { host.verdict(it, nowMs) == SuspectVerdict.CLEAR }
        val reports = host.recordCrash("server", incarnation, companions + "guilty", nowMs)
        hosts.forEach { other -> if (random.nextInt(3) > 0) reports.forEach { other.merge(it, nowMs) } }
        val cleared = companions.filter { random.nextBoolean() }.mapNotNull { host.recordCompletion(it, nowMs + 50) }
        hosts.forEach { other -> cleared.forEach { other.merge(it, nowMs + 60) } }
    }

    private companion object {
        private val INNOCENT = List(6) { "innocent-$it" }
    }
}
