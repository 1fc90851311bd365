package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.SlowStart
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.message.BackendServerState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class FirstByteChoiceTest {
    private fun slots(name: String, capacity: Long = 64) = BackendSlots(
        BackendServerState(
            name, "drafting", "hue", "hue-a", name, 1, 1, capacity, emptyList(), emptyList(), "", 0, 0, false, 3_000,
        ),
        SlowStart.ended(),
        historyBlocks = 1_024,
    )

    private fun request(number: Long, session: String = "s"): RequestProfile {
        val promptTokens = 9_000
        val parts = listOf("system" to 2_500, session to 3_700, "own-$number" to promptTokens - 6_200)
        return RequestProfile(
            RequestId("hue-1", 1, number), "", "drafting", "draft", 1, true, 10_000, listOf("hue"),
            prefixHashes = PrefixHashes.ofParts(parts),
            promptTokens = promptTokens,
            sharedTokens = 6_200,
            affinityHash = PrefixHashes.ofParts(parts.dropLast(1)).last(),
            isStream = true,
            targetMs = 800,
        )
    }

    /** Guards against hosts that read one session's prompt on different engines because each knows only its own. */
    @Test
    fun `hosts that have not seen a session choose the same engine`() {
        val names = List(6) { "engine-$it" }
        for (session in List(20) { "session-$it" }) {
            val chosen = List(3) { host ->
                val servers = ServiceServers(names.map { slots(it) }, ServiceTimes())
                FirstByteChoice().choose(request(host.toLong(), session), servers, 0)?.name
            }
            assertEquals(1, chosen.toSet().size, "$session: $chosen")
        }
    }

    /**
     * Replays the rush of one session: prompts queue on the engine that holds them until reading them again elsewhere
     * is sooner than waiting. Guards against a queue on one engine beside idle ones.
     */
    @Test
    fun `a rush for one session spreads before its first bytes are late`() {
        val servers = ServiceServers(List(6) { slots("engine-$it") }, ServiceTimes())
        val choice = FirstByteChoice()
        val counts = HashMap<String, Int>()
        repeat(40) { number ->
            val profile = request(number.toLong())
            val chosen = checkNotNull(choice.choose(profile, servers, 0))
            chosen.addPending(FinishChoice.uncachedTokens(profile, chosen))
            chosen.history.add(profile.prefixHashes)
            counts.merge(chosen.name, 1, Int::plus)
        }
        assertTrue(counts.size >= 3, "$counts")
        assertTrue(counts.values.max() <= 20, "$counts")
    }

    /** Guards against a prompt that is read again although another engine holds it, and against copies of nothing. */
    @Test
    fun `a cached head is copied from the engine that holds it`() {
        val servers = ServiceServers(List(4) { slots("engine-$it") }, ServiceTimes())
        val choice = FirstByteChoice()
        val profile = request(1).copy(canImportCache = true)
        val preferred = checkNotNull(choice.choose(profile, servers, 0))
        val other = servers.slots.first { it !== preferred }
        val assumed = choice.reading(profile, other, servers).source
        assertEquals(preferred, assumed, "the preferred engine is taken to hold it")
        assertEquals(null, choice.reading(profile, preferred, servers).source, "nobody is known to hold it")
        other.history.add(profile.prefixHashes)
        assertEquals(other, choice.reading(profile, preferred, servers).source)
        assertEquals(null, choice.reading(profile.copy(canImportCache = false), preferred, servers).source)
        val idle = servers.slots.first { it !== preferred && it !== other }
        val read = choice.reading(profile, idle, servers).tokens
        assertTrue(read < profile.promptTokens - profile.sharedTokens + profile.sharedTokens / 4, "$read")
    }

    /** Guards against an engine that is preferred for its cache while other hosts' requests wait there. */
    @Test
    fun `requests of other hosts that wait are seen in the load of a response`() {
        val servers = ServiceServers(List(3) { slots("engine-$it") }, ServiceTimes())
        val choice = FirstByteChoice()
        val first = checkNotNull(choice.choose(request(1), servers, 0))
        first.report(running = 10, queued = 40, nowMs = 0)
        assertNotEquals(first.name, choice.choose(request(2), servers, 0)?.name)
    }

    /** Guards against a plain service's requests that pile up on one server. */
    @Test
    fun `a plain request takes the least loaded server`() {
        val busy = slots("busy", capacity = 6)
        val idle = slots("idle", capacity = 6)
        repeat(3) { busy.tryAcquire(0) }
        val profile = RequestProfile(RequestId("hue-1", 1, 1), "", "bulletin", "post", 1, false, 10_000, listOf("hue"))
        assertEquals(
            "idle",
            FirstByteChoice().choose(profile, ServiceServers(listOf(busy, idle), ServiceTimes()), 0)?.name,
        )
    }

    /** Guards against a model that takes queueing for the speed of reading. */
    @Test
    fun `the time of a token is learned beside a fixed time`() {
        val model = FirstByteModel()
        val random = Random(7)
        repeat(500) {
            val tokens = random.nextDouble(100.0, 10_000.0)
            model.record(tokens, 40 + tokens * 0.025 + random.nextDouble(-10.0, 10.0))
        }
        assertEquals(0.025, model.msPerToken, 0.002)
        assertEquals(40.0, model.baseMs, 8.0)
    }

    /** Guards against a cold server that gets more than all hosts together may send. */
    @Test
    fun `a cold server gets spaced requests`() {
        data class Case(val coldMs: Long, val rate: Double, val atMs: List<Long>, val expected: List<Boolean>)
        val cases = listOf(
            Case(0, 0.0, listOf(0, 1, 2), listOf(true, true, true)),
            Case(3_000, 0.0, listOf(0, 2_999, 3_000), listOf(false, false, true)),
            Case(3_000, 2.0, listOf(0, 100, 501, 600, 1_002), listOf(true, false, true, false, true)),
        )
        for (case in cases) {
            val gate = ColdGate()
            gate.update(case.coldMs, case.rate, 0)
            assertEquals(case.expected, case.atMs.map { gate.isOpen(it) && gate.tryPass(it) }, "$case")
        }
        val cold = slots("cold").apply { coldGate.update(3_000, 0.0, 0) }
        assertFalse(cold.hasRoom(0) || cold.tryAcquire(0))
    }
}
