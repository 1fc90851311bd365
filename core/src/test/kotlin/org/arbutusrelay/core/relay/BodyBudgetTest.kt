package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BodyBudgetTest {
    private val kib = 1_024L
    private val mib = 1_024 * kib

    /** Guards against long bodies that leave no memory for short ones, and short ones that exhaust it. */
    @Test
    fun `short and long bodies are limited apart`() {
        /** Of [count] bodies, [readBytes] of [expectedBytes] have arrived; [admitted] of them have room in 16 MiB. */
        data class Case(val count: Int, val readBytes: Long, val expectedBytes: Long, val admitted: Int)
        val cases = listOf(
            Case(40, 4 * mib, 4 * mib, 3),
            Case(40, 16 * kib + 1, 4 * mib, 3),
            Case(400, 16 * kib, 4 * mib, 256),
            Case(400, 64 * kib, 64 * kib, 64),
            Case(400, 1 * kib, 64 * kib, 400),
            Case(400, 64 * kib + 1, 64 * kib + 1, 191),
            Case(3, 20 * mib, 20 * mib, 1),
        )
        for (case in cases) {
            val budget = BodyBudget(16 * mib)
            val leases = List(case.count) { budget.Lease() }
            assertEquals(case.admitted, leases.count { it.tryReserve(case.readBytes, case.expectedBytes) }, "$case")
            leases.forEach { it.release() }
            assertEquals(0, budget.reservedBytes, "$case")
        }
    }

    /** Guards against a short request that waits because long bodies have taken all memory. */
    @Test
    fun `a short body has room beside long ones that wait`() {
        val budget = BodyBudget(16 * mib)
        val waiting = List(80) { budget.Lease() }
        waiting.forEach { assertTrue(it.tryReserve(16 * kib, 4 * mib)) }
        assertEquals(3, waiting.count { it.tryReserve(17 * kib, 4 * mib) })
        assertTrue(budget.Lease().tryReserve(64 * kib, 64 * kib))
    }

    /** Guards against memory that is released twice, or that a body which has its room asks for again. */
    @Test
    fun `a body reserves its whole length once`() {
        val budget = BodyBudget(16 * mib)
        val lease = budget.Lease()
        assertTrue(lease.tryReserve(10, 4 * mib))
        assertTrue(lease.tryReserve(1 * mib, 4 * mib))
        assertTrue(lease.tryReserve(4 * mib, 4 * mib))
        assertEquals(4 * mib, budget.reservedBytes)
        val others = List(3) { budget.Lease() }
        assertEquals(listOf(true, true, false), others.map { it.tryReserve(4 * mib, 4 * mib) })
        lease.release()
        lease.release()
        assertEquals(8 * mib, budget.reservedBytes)
        assertTrue(others.last().tryReserve(4 * mib, 4 * mib))
        assertFalse(budget.Lease().tryReserve(4 * mib, 4 * mib))
    }
}
