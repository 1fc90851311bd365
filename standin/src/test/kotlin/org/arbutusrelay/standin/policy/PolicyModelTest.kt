package org.arbutusrelay.standin.policy

import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PolicyModelTest {
    private val workload = Workload.read(Path.of("../samples/workloads/registry.toml")).copy(hourMs = 1_500)

    private fun run(policy: Policy, scenario: Scenario, loadPermille: Int = 950): RunResult =
        PolicyModel(workload, scenario, policy, SEED).run(Arrivals(workload, SEED).draw(loadPermille))

    @Test
    fun `each arrival gets one decision under each policy and failure`() {
        for (policy in Policy.entries) {
            for (scenario in Scenario.entries) {
                val result = run(policy, scenario)
                assertTrue(result.arrivals > 0)
                assertEquals(result.arrivals, result.decided, "$policy $scenario")
                assertEquals(result.arrivals, result.inTime + result.late + result.refused + result.lost)
            }
        }
    }

    @Test
    fun `a seed gives the same figures again`() {
        val figures =
            List(2) { run(Policy.FINISH, Scenario.REGION_LOST).run { listOf(inTime, late, sentAway, cachedTokens) } }
        assertEquals(figures[0], figures[1])
    }

    @Test
    fun `at 120 percent load the share in time stays above 90 percent of what capacity allows`() {
        val result = run(Policy.FINISH, Scenario.STEADY, loadPermille = 1_200)
        result.allowedShare = Allowance.share(workload, 1_200)
        assertTrue(result.ofAllowed() > 0.9, "share of allowed ${result.ofAllowed()}")
    }

    private companion object {
        private const val SEED = 7L
    }
}
