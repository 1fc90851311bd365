package org.arbutusrelay.daemon.node

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.InvariantViolation
import org.arbutusrelay.daemon.observe.RelayMetrics
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

/** Guards against a violated invariant that fails only the request although the settings make it fatal. */
class ProcessInvariantsTest {
    private val exitCodes = mutableListOf<Int>()

    @Test
    fun `a violation terminates the process only if the settings make it fatal`() {
        val nonFatal = processInvariants(isFatal = false, RelayMetrics(), { exitCodes += it })
        assertFalse(nonFatal.check(Guarantee.SINGLE_HOP, false) { "twice" })
        assertEquals(emptyList(), exitCodes)
        val fatal = processInvariants(isFatal = true, RelayMetrics(), { exitCodes += it })
        assertFailsWith<InvariantViolation> { fatal.check(Guarantee.SINGLE_HOP, false) { "twice" } }
        assertEquals(listOf(EXIT_INVARIANT), exitCodes)
    }
}
