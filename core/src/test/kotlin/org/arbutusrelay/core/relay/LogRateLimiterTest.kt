package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class LogRateLimiterTest {
    /** Guards against a flood of log lines under load, and against suppressed lines that are not reported. */
    @Test
    fun `lines above the limit are suppressed and counted`() {
        val limiter = LogRateLimiter(maxLines = 2, windowMs = 1_000)
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
        cases.forEach { assertEquals(it.expected, limiter.tryAcquire(it.nowMs), "$it") }
    }
}
