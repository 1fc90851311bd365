package org.arbutusrelay.core.consensus

import java.util.EnumMap
import kotlin.test.Test
import kotlin.test.assertTrue

class ConsensusRandomisedTest {
    /** Guards against loss of committed entries, two leaders in one term and overlapping leader leases. */
    @Test
    fun `log stays safe and the group recovers under every kind of fault`() {
        val counts = runSeeds(1L..20L)
        println("seeds 1..20: $counts")
        val missing = Fault.entries.filter { (counts[it] ?: 0) == 0 }
        assertTrue(missing.isEmpty(), "these kinds of fault did not occur: $missing")
    }
}

/** Runs the simulation for each seed and returns the number of occurrences of each kind of fault. */
fun runSeeds(seeds: LongRange): Map<Fault, Int> {
    val total = EnumMap<Fault, Int>(Fault::class.java)
    for (seed in seeds) {
        val simulation = ConsensusSimulation(seed)
        simulation.run()
        simulation.counts.forEach { (fault, count) -> total.merge(fault, count, Int::plus) }
    }
    return total
}
