package org.arbutusrelay.core.ledger

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against a request that runs twice, a false `not_run` and the response of another request. */
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
        if (runCount >= 100) REQUIRED_EVENTS.forEach { assertTrue(counts[it] ?: 0 > 0, "$it never happened: $counts") }
    }

    @Test
    fun `each injected fault is detected`() {
        for ((name, fault) in injectedFaults) {
            val detection =
                (1..MAX_FAULT_SEED).firstNotNullOfOrNull { seed ->
                    val message = failureOf(seed, fault, sortedMapOf())?.message
                    message?.lineSequence()?.first()?.takeIf { fault.expectedFailure in it }
                }
            println("injected fault '$name' detected by: $detection")
            assertNotNull(detection, "$name: the check '${fault.expectedFailure}' did not detect it")
        }
    }

    private fun failureOf(seed: Int, faults: LedgerFaults, counts: MutableMap<String, Int>): Throwable? {
        val simulation = LedgerSimulation(seed, faults)
        val failure = runCatching { simulation.run() }.exceptionOrNull()
        simulation.time.counts.forEach { (kind, n) -> counts.merge(kind, n, Int::plus) }
        return failure?.let { AssertionError("seed $seed: ${it.message}\n${simulation.time.trace}", it) }
    }

    private companion object {
        private const val MAX_FAULT_SEED = 300
        private val CRASH_EVENTS =
            listOf("accept", "grant request", "release", "granted", "sent", "run", "finish", "deliver")
                .map { "host crash at $it" } +
                listOf("on request", "before commit", "before reply", "while idle").map { "ledger crash $it" }
        private val DECISION_EVENTS =
            listOf("GRANTED", "IN_PROGRESS", "FINISHED", "UNKNOWN", "BODY_MISMATCH", "RELEASED", "FENCED", "NO_LEADER")
                .map { "grant decided $it" }
        private val REQUIRED_EVENTS =
            CRASH_EVENTS + DECISION_EVENTS +
                listOf("message lost", "message late", "message duplicated", "grant timed out", "home moved") +
                listOf("hand-over import", "backend server refused", "backend server connection broken") +
                listOf(
                    "stored response used",
                    "grant settled after its deadline",
                    "caller sends a concurrent duplicate",
                ) +
                listOf(
                    "entries retained by a former home",
                    "command repeated in the new home",
                    "finish reached the new home",
                ) +
                listOf("ABSENT", "FINISHED").map { "former home replied $it" } +
                listOf("host crash while a ledger has no leader") +
                listOf("ran", "not_run", "unknown", "mismatch").map { "caller received $it" }
    }
}
