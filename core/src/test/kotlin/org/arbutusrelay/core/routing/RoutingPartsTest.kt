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
    /** Guards against different affinity hashes for prompts with the same shared parts. */
    @Test
    fun `the hashes of the leading parts are a prefix of the hashes of the whole prompt`() {
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
        BackendSlots(server(name, capacity = 10, running = running), SlowStart.ended(), prefixIndexBlocks = 64)

    @Test
    fun `the prefix cache index matches leading blocks, removes blocks and stays within its capacity`() {
        val prefixIndex = PrefixCacheIndex(maxBlocks = 64)
        prefixIndex.add(listOf(1, 2, 3))
        assertEquals(
            listOf(3, 2, 0),
            listOf(listOf(1L, 2, 3, 4), listOf(1L, 2, 9), listOf(9L, 1)).map(prefixIndex::matchPrefix),
        )
        prefixIndex.remove(2)
        assertEquals(1, prefixIndex.matchPrefix(listOf(1, 2, 3)))
        (100L..1_000L).forEach { prefixIndex.add(listOf(it)) }
        assertTrue((1L..1_000L).count { prefixIndex.matchPrefix(listOf(it)) == 1 } <= 64)
        assertEquals(1, prefixIndex.matchPrefix(listOf(1_000)), "the latest block is retained")
    }

    @Test
    fun `chained hashes are equal for equal prefixes only`() {
        val hashes = { text: String -> PrefixHashes.of(text.toByteArray(), blockBytes = 2, maxBlocks = 3) }
        assertEquals(listOf(0, 1, 3, 3), listOf("a", "abc", "abcdef", "abcdefgh").map { hashes(it).size })
        assertEquals(hashes("abcd").take(1), hashes("abXX").take(1))
        assertTrue(hashes("abcdef").last() !in hashes("XXcdef"), "a hash also covers the preceding blocks")
    }

    @Test
    fun `cache events update the index and a sequence gap clears it`() {
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
            slots.prefixIndex.add(listOf(7))
            slots.cacheSequence.apply(CacheEvents(incarnation = 9, events.map { it.copy(sequence = it.sequence + 90) }))
            slots.cacheSequence.apply(CacheEvents(incarnation = 1, events))
            assertEquals(expected, listOf(7L, 10L).map { slots.prefixIndex.matchPrefix(listOf(it)) == 1 }, case)
        }
    }

    @Test
    fun `the server with the cached prefix is selected until its load outweighs the prefix`() {
        val times = ServiceTimeModel()
        val profile = request(1).copy(promptTokens = 1_000, responseTokens = 50, prefixHashes = listOf(1, 2))
        val cases = listOf(0L to "a", 2L to "a", 10L to "b")
        for ((running, expected) in cases) {
            val holder = slots("a", running).apply { prefixIndex.add(listOf(1, 2)) }
            val chosen =
                EarliestFinishServerSelector().select(profile, ServerPool(listOf(slots("b"), holder), times), 0)
            assertEquals(expected, chosen?.name, "load of $running on the server with the prefix")
        }
    }

    @Test
    fun `the slowdown of a server rises with slow responses and decays without samples`() {
        val slow = slots("a")
        repeat(20) { slow.slowdown.record(ratio = 10.0, nowMs = 0) }
        assertTrue(slow.slowdown.factor(0) > 5)
        assertTrue(slow.slowdown.factor(60_000) < 1.2)
    }

    @Test
    fun `a request is forwarded only after sustained misses and to a region that meets the deadline`() {
        val near = RegionSlots(remote("danang"), SlowStart.ended())
        val full = RegionSlots(remote("quangtri", running = 5_000), SlowStart.ended())
        val selector = EarliestFinishRegionSelector()
        val at = { nowMs: Long, localMs: Double, region: RegionSlots ->
            val profile = request(1, deadlineMs = nowMs + 1_000)
            selector.select(
                RegionQuery(profile, nowMs, localMs, true, listOf(region), ServiceTimeModel(), emptyMap()),
            )?.region?.name
        }
        assertEquals(null, at(0, 2_000.0, near), "the first miss does not start forwarding")
        assertEquals("danang", at(600, 2_000.0, near))
        assertEquals(null, at(700, 900.0, near), "the local region meets the deadline")
        assertEquals(null, at(700, 2_000.0, full), "the other region would miss it too")
        assertEquals(null, at(9_000, 2_000.0, near), "a gap without misses ends forwarding")
        assertEquals("danang", at(20_000, Double.POSITIVE_INFINITY, near), "no server in the local region")
    }

    @Test
    fun `a region is usable depending on summary age, link utilisation, slow start and circuit breaker`() {
        val ended = SlowStart.ended()
        assertTrue(RegionSlots(remote("danang"), ended).isUsable("drafting", 0))
        assertFalse(RegionSlots(remote("danang"), ended).isUsable("other", 0))
        assertFalse(RegionSlots(remote("danang", ageMs = 6_000), ended).isUsable("drafting", 0), "old summary")
        assertFalse(RegionSlots(remote("danang", linkUse = 900), ended).isUsable("drafting", 0), "full link")
        val ramped = RegionSlots(remote("danang", capacity = 4), SlowStart(0, 1_000))
        repeat(2) { ramped.acquire("drafting") }
        assertFalse(ramped.isUsable("drafting", 0), "a returning region starts with a quarter of its load")
        assertTrue(ramped.isUsable("drafting", 1_000))
        repeat(3) { ramped.breaker.recordFailure(2_000) }
        assertFalse(ramped.isUsable("drafting", 2_001))
    }

    @Test
    fun `the load smooths reported requests of other hosts and counts own requests at once`() {
        val slots = slots("a")
        repeat(3) { assertTrue(slots.tryAcquire(0)) }
        assertEquals(3, slots.load())
        repeat(30) { slots.update(server("a", capacity = 10, running = 7, version = 2L + it)) }
        assertEquals(7, slots.load())
        slots.release()
        assertEquals(6, slots.load())
    }
}
