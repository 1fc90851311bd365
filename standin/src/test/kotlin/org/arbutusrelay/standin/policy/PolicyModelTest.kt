package org.arbutusrelay.standin.policy

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PolicyModelTest {
    private val workload = Workload.read(Path.of("../samples/workloads/registry.toml")).copy(hourMs = 1_500)

    private fun run(policy: Policy, scenario: Scenario, loadPermille: Int = 950): RunResult =
        PolicyModel(workload, scenario, policy, SEED).run(ArrivalGenerator(workload, SEED).generate(loadPermille))

    @Test
    fun `every arrival has exactly one outcome under every policy and failure scenario`() {
        for (policy in Policy.entries) {
            for (scenario in Scenario.entries) {
                val result = run(policy, scenario)
                assertTrue(result.arrivals > 0)
                assertEquals(result.arrivals, result.decided, "$policy $scenario")
                assertEquals(result.arrivals, result.onTime + result.late + result.refused + result.lost)
            }
        }
    }

    @Test
    fun `runs with the same seed have the same results`() {
        val results =
            List(2) { run(Policy.FINISH, Scenario.REGION_LOST).run { listOf(onTime, late, forwarded, cachedTokens) } }
        assertEquals(results[0], results[1])
    }

    @Test
    fun `at 120 percent load the on-time share exceeds 90 percent of the servable share`() {
        val result = run(Policy.FINISH, Scenario.STEADY, loadPermille = 1_200)
        result.servableShare = CapacityBound.servableShare(workload, 1_200)
        assertTrue(result.onTimeShareOfServable() > 0.9, "on-time share of servable: ${result.onTimeShareOfServable()}")
    }

    private companion object {
        private const val SEED = 7L
    }
}
