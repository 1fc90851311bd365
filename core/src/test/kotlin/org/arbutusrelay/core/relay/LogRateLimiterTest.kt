package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class LogRateLimiterTest {
    /** Guards against a flood of lines under load, and against lines that are left out without a word. */
    @Test
    fun `lines beyond the budget are left out and counted`() {
        val budget = LogRateLimiter(maxLines = 2, windowMs = 1_000)
        data class Case(val nowMs: Long, val expected: Long?)
        val cases = listOf(
            Case(0, 0),
            Case(10, 0),
            Case(20, null),
            Case(999, null),
            Case(1_000, 2),
            Case(1_001, 0),
            Case(1_002, null),
            Case(5_000, 1),
        )
        cases.forEach { assertEquals(it.expected, budget.tryAcquire(it.nowMs), "$it") }
    }
}
