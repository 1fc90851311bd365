package org.arbutusrelay.core.routing

import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import kotlin.test.Test
import kotlin.test.assertIs

class FastServerTest {
    /**
     * Guards against a server that gets no more requests because it answered faster than the clock ticks: a measured
     * time of 0 ms divided by a predicted one of 0 ms is NaN.
     */
    @Test
    fun `a server whose responses take less than a millisecond stays in use`() {
        data class Case(val selector: ServerSelector, val promptTokens: Int, val isStream: Boolean)
        val selectors = listOf(FirstByteServerSelector(), EarliestFinishServerSelector())
        val cases = selectors.flatMap { selector ->
            listOf(Case(selector, 0, false), Case(selector, 100, false), Case(selector, 0, true))
        }
        for (case in cases) {
            val scheduler = DefaultRequestScheduler(callerOf = { null }, serverSelector = case.selector)
            scheduler.updateTable(table(server("engine-1")))
            for (number in 1L..5) {
                val profile = request(number, regions = listOf("hue"))
                    .copy(promptTokens = case.promptTokens, responseTokens = 0, isStream = case.isStream)
                val placement = assertIs<Placement.Run>(scheduler.submit(profile, nowMs = 1), "$case, $number")
                scheduler.recordFirstByte(placement.attempt, nowMs = 1)
                scheduler.complete(placement.attempt, AttemptResult.COMPLETE, nowMs = 1)
            }
        }
    }
}
