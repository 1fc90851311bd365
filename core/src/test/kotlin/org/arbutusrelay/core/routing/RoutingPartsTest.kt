package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.SlowStart
import org.arbutusrelay.core.routing.SchedulerFixture.remote
import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.schema.api.CacheEvent
import org.arbutusrelay.schema.api.CacheEvents
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RoutingPartsTest {
    /** Guards against an affinity that differs between prompts with the same shared parts. */
    @Test
    fun `the hashes of the first parts of a prompt are the head of the hashes of all`() {
        data class Case(val tokens: List<Int>, val hashes: Int)
        val cases = listOf(
            Case(emptyList(), 0),
            Case(listOf(10), 1),
            Case(listOf(512, 300), 3),
            Case(listOf(0, 4 * 256), 5),
            Case(listOf(300 * 256), 256),
            Case(listOf(200 * 256, 200 * 256), 256),
        )
        cases.forEach { case ->
            val head = case.tokens.mapIndexed { index, tokens -> "part-$index" to tokens }
            val all = PrefixHashes.ofParts(head + ("own" to 900))
            assertEquals(case.hashes, PrefixHashes.countOfParts(head), "$case")
            assertEquals(PrefixHashes.ofParts(head), all.take(case.hashes), "$case")
        }
    }

    private fun slots(name: String, running: Long = 0) =
        BackendSlots(server(name, capacity = 10, running = running), SlowStart.ended(), historyBlocks = 64)

    @Test
    fun `prefix history finds the leading run, forgets, and stays within its bound`() {
        val history = PrefixHistory(maxBlocks = 64)
        history.add(listOf(1, 2, 3))
        assertEquals(
            listOf(3, 2, 0),
            listOf(listOf(1L, 2, 3, 4), listOf(1L, 2, 9), listOf(9L, 1)).map(history::leadingRun),
        )
        history.remove(2)
        assertEquals(1, history.leadingRun(listOf(1, 2, 3)))
        (100L..1_000L).forEach { history.add(listOf(it)) }
        assertTrue((1L..1_000L).count { history.leadingRun(listOf(it)) == 1 } <= 64)
        assertEquals(1, history.leadingRun(listOf(1_000)), "the latest block is kept")
    }

    @Test
    fun `chained hashes are equal for equal prefixes only`() {
        val hashes = { text: String -> PrefixHashes.of(text.toByteArray(), blockBytes = 2, maxBlocks = 3) }
        assertEquals(listOf(0, 1, 3, 3), listOf("a", "abc", "abcdef", "abcdefgh").map { hashes(it).size })
        assertEquals(hashes("abcd").take(1), hashes("abXX").take(1))
        assertTrue(hashes("abcdef").last() !in hashes("XXcdef"), "a block counts only after the same blocks")
    }

    @Test
    fun `cache events correct the history and a gap discards it`() {
        val event = { sequence: Long, type: CacheEvent.Type, prefix: String ->
            CacheEvent(sequence, type, listOf(prefix))
        }
        val stored = CacheEvent.Type.STORED
        val cases = listOf(
            Triple(
                "in order",
                listOf(event(1, stored, "a"), event(2, CacheEvent.Type.REMOVED, "7")),
                listOf(false, true),
            ),
            Triple("gap", listOf(event(1, stored, "a"), event(3, stored, "b")), listOf(false, false)),
            Triple(
                "repeated",
                listOf(event(1, stored, "a"), event(1, CacheEvent.Type.CLEARED, "7")),
                listOf(true, true),
            ),
            Triple(
                "cleared",
                listOf(event(5, stored, "a"), event(6, CacheEvent.Type.CLEARED, "7")),
                listOf(false, false),
            ),
        )
        for ((case, events, expected) in cases) {
            val slots = slots("a")
            slots.history.add(listOf(7))
            slots.cacheSequence.apply(CacheEvents(incarnation = 9, events.map { it.copy(sequence = it.sequence + 90) }))
            slots.cacheSequence.apply(CacheEvents(incarnation = 1, events))
            assertEquals(expected, listOf(7L, 10L).map { slots.history.leadingRun(listOf(it)) == 1 }, case)
        }
    }

    @Test
    fun `the holder of a prefix is chosen until its load outweighs the prefix`() {
        val times = ServiceTimes()
        val profile = request(1).copy(promptTokens = 1_000, responseTokens = 50, prefixHashes = listOf(1, 2))
        val cases = listOf(0L to "a", 2L to "a", 10L to "b")
        for ((running, expected) in cases) {
            val holder = slots("a", running).apply { history.add(listOf(1, 2)) }
            val chosen = FinishChoice().choose(profile, ServiceServers(listOf(slots("b"), holder), times), 0)
            assertEquals(expected, chosen?.name, "$running running on the holder")
        }
    }

    @Test
    fun `a slow server is avoided and tried again later`() {
        val slow = slots("a")
        repeat(20) { slow.slowdown.record(ratio = 10.0, nowMs = 0) }
        assertTrue(slow.slowdown.factor(0) > 5)
        assertTrue(slow.slowdown.factor(60_000) < 1.2)
    }

    @Test
    fun `a request leaves only after lasting misses and only for a region that meets the deadline`() {
        val near = RegionSlots(remote("danang"), SlowStart.ended())
        val full = RegionSlots(remote("quangtri", running = 5_000), SlowStart.ended())
        val choice = FinishRegionChoice()
        val at = { nowMs: Long, localMs: Double, region: RegionSlots ->
            val profile = request(1, deadlineMs = nowMs + 1_000)
            choice.choose(
                RegionQuery(profile, nowMs, localMs, true, listOf(region), ServiceTimes(), emptyMap()),
            )?.region?.name
        }
        assertEquals(null, at(0, 2_000.0, near), "the first miss does not start it")
        assertEquals("danang", at(600, 2_000.0, near))
        assertEquals(null, at(700, 900.0, near), "home meets the deadline")
        assertEquals(null, at(700, 2_000.0, full), "the other region would miss it too")
        assertEquals(null, at(9_000, 2_000.0, near), "a pause ends it")
        assertEquals("danang", at(20_000, Double.POSITIVE_INFINITY, near), "no server at home")
    }

    @Test
    fun `a region is usable by age, link share, ramp and breaker`() {
        val ended = SlowStart.ended()
        assertTrue(RegionSlots(remote("danang"), ended).isUsable("drafting", 0))
        assertFalse(RegionSlots(remote("danang"), ended).isUsable("other", 0))
        assertFalse(RegionSlots(remote("danang", ageMs = 6_000), ended).isUsable("drafting", 0), "old summary")
        assertFalse(RegionSlots(remote("danang", linkUse = 900), ended).isUsable("drafting", 0), "full link")
        val ramped = RegionSlots(remote("danang", capacity = 4), SlowStart(0, 1_000))
        repeat(2) { ramped.acquire("drafting") }
        assertFalse(ramped.isUsable("drafting", 0), "a returning region gets a quarter of its work first")
        assertTrue(ramped.isUsable("drafting", 1_000))
        repeat(3) { ramped.breaker.recordFailure(2_000) }
        assertFalse(ramped.isUsable("drafting", 2_001))
    }

    @Test
    fun `reports of other hosts enter the load gradually and own requests at once`() {
        val slots = slots("a")
        repeat(3) { assertTrue(slots.tryAcquire(0)) }
        assertEquals(3, slots.load())
        repeat(30) { slots.update(server("a", capacity = 10, running = 7, version = 2L + it)) }
        assertEquals(7, slots.load())
        slots.release()
        assertEquals(6, slots.load())
    }
}
