package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RecentSendsTest {
    /** Guards against a request that comes to the same server again on the connection of its first send. */
    @Test
    fun `a send is repeated only with the same request and address while its caller may wait`() {
        data class Case(val requestId: String, val address: String, val nowMs: Long, val isRepeated: Boolean)
        val cases = listOf(
            Case("r1", "a", 100, isRepeated = true),
            Case("r1", "a", 4_999, isRepeated = true),
            Case("r1", "a", 5_900, isRepeated = true),
            Case("r1", "a", 6_001, isRepeated = false),
            Case("r2", "a", 100, isRepeated = false),
            Case("r1", "b", 100, isRepeated = false),
        )
        for (case in cases) {
            val sends = RecentSends()
            assertEquals(false, sends.record("r1", "a", deadlineMs = 5_000, nowMs = 0), "$case")
            assertEquals(case.isRepeated, sends.record(case.requestId, case.address, 5_000, case.nowMs), "$case")
            if (case.isRepeated) assertTrue(sends.record(case.requestId, case.address, 5_000, case.nowMs), "$case")
        }
    }

    /** Guards against memory that grows with all requests since the start of the process. */
    @Test
    fun `sends whose callers no longer wait are forgotten`() {
        val sends = RecentSends()
        for (nowMs in 0L until 200_000L) sends.record("r$nowMs", "a", nowMs + 1_000, nowMs)
        assertTrue(sends.size <= 2 * 2_000 + 1, "${sends.size} sends are remembered, of which 2,000 have not expired")
    }
}
