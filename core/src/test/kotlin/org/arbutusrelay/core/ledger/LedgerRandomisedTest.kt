package org.arbutusrelay.core.ledger

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against a request that runs twice, a dishonest `not_run` and the response of another request. */
class LedgerRandomisedTest {
    private val firstSeed = Integer.getInteger("ledger.seed", 1)
    private val runCount = Integer.getInteger("ledger.runs", 200)

    @Test
    fun `no key runs twice under message loss, crashes, leader changes and home moves`() {
        val counts = sortedMapOf<String, Int>()
        for (seed in firstSeed until firstSeed + runCount) {
            failureOf(seed, LedgerFaults(), counts)?.let { throw it }
        }
        println("ledger runs seeds $firstSeed..${firstSeed + runCount - 1}: $counts")
        if (runCount >= 100) REQUIRED.forEach { assertTrue(counts[it] ?: 0 > 0, "$it never happened: $counts") }
    }

    @Test
    fun `each deliberate fault is found`() {
        for ((name, fault) in deliberateFaults) {
            val found =
                (1..FAULT_RUNS).firstNotNullOfOrNull { seed ->
                    val message = failureOf(seed, fault, sortedMapOf())?.message
                    message?.lineSequence()?.first()?.takeIf { fault.finding in it }
                }
            println("deliberate fault '$name' found by $found")
            assertNotNull(found, "$name: the check '${fault.finding}' did not find it")
        }
    }

    private fun failureOf(seed: Int, faults: LedgerFaults, counts: MutableMap<String, Int>): Throwable? {
        val world = LedgerWorld(seed, faults)
        val failure = runCatching { world.run() }.exceptionOrNull()
        world.time.counts.forEach { (kind, n) -> counts.merge(kind, n, Int::plus) }
        return failure?.let { AssertionError("seed $seed: ${it.message}\n${world.time.trace}", it) }
    }

    private companion object {
        private const val FAULT_RUNS = 300
        private val CRASHES =
            listOf("accept", "grant request", "release", "granted", "sent", "run", "finish", "deliver")
                .map { "host crash at $it" } +
                listOf("on arrival", "before commit", "before reply", "at rest").map { "ledger crash $it" }
        private val DECISIONS =
            listOf("GRANTED", "IN_PROGRESS", "FINISHED", "UNKNOWN", "BODY_MISMATCH", "RELEASED", "FENCED", "NO_LEADER")
                .map { "grant decided $it" }
        private val REQUIRED =
            CRASHES + DECISIONS +
                listOf("message lost", "message late", "message duplicated", "grant timed out", "home moved") +
                listOf("hand-over import", "backend server refused", "backend server connection broken") +
                listOf("stored response used", "grant settled after its deadline", "caller sends twice at once") +
                listOf("entries stayed in a former home", "command followed a move", "finish reached the new home") +
                listOf("ABSENT", "FINISHED").map { "former home told $it" } +
                listOf("host crash while a ledger has no leader") +
                listOf("ran", "not_run", "unknown", "mismatch").map { "caller told $it" }
    }
}
