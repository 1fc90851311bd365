package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class LoopLagTest {
    /** Guards against input that counts as just arrived although the loop was late, and against a lag without cause. */
    @Test
    fun `input may have waited since the task of the loop was due`() {
        class Case(val nowMs: Long, val lagMs: Long)
        val lag = LoopLag(intervalMs = 250)
        assertEquals(0, lag.lagMs(10_000))
        lag.recordRun(1_000)
        listOf(Case(1_000, 0), Case(1_250, 0), Case(1_900, 650)).forEach { assertEquals(it.lagMs, lag.lagMs(it.nowMs)) }
        lag.recordRun(1_900)
        assertEquals(0, lag.lagMs(2_000))
    }
}
