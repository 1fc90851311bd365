package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class ResponseBuffersTest {
    /** Guards against responses that exhaust the memory of the host, one by one or together. */
    @Test
    fun `a response and all responses together are bounded`() {
        class Case(val name: String, val heldBytes: Int, val bytes: Int, val isReserved: Boolean)
        val buffers = ResponseBuffers(maxResponseBytes = 100, maxTotalBytes = 150)
        val cases = listOf(
            Case("first part", 0, 60, true),
            Case("too long a response", 60, 41, false),
            Case("up to the limit of a response", 60, 40, true),
            Case("too much in total", 0, 51, false),
            Case("up to the total", 0, 50, true),
        )
        for (case in cases) assertEquals(case.isReserved, buffers.tryReserve(case.heldBytes, case.bytes), case.name)
        buffers.release(100)
        assertEquals(50, buffers.totalBytes)
        assertEquals(true, buffers.tryReserve(50, 50))
    }
}
