package org.arbutusrelay.core.site

import kotlin.test.Test
import kotlin.test.assertEquals

class ViewTrustTest {
    /** Guards against callers directed elsewhere by a state host that has not heard of their region, or not lately. */
    @Test
    fun `a view is whole a second after the majority is connected and no pause came`() {
        val trust = ViewTrust()
        data class Step(val nowMs: Long, val hasMajority: Boolean?, val isWhole: Boolean)
        val steps = listOf(
            Step(0, null, false),
            Step(0, true, false),
            Step(500, true, false),
            Step(1_000, true, true),
            Step(1_500, false, false),
            Step(2_000, true, false),
            Step(3_000, true, true),
            Step(5_000, null, true),
            // The process was paused: it may answer before its next step, and reads the queued reports after it.
            Step(5_001, null, false),
            Step(9_000, true, false),
            Step(9_900, true, false),
            Step(10_000, true, true),
        )
        for (step in steps) {
            step.hasMajority?.let { trust.update(it, step.nowMs) }
            assertEquals(step.isWhole, trust.isWhole(step.nowMs), "$step")
        }
    }
}
