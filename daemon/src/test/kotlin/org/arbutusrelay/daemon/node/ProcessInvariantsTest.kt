package org.arbutusrelay.daemon.node

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.InvariantViolation
import org.arbutusrelay.daemon.observe.RelayMetrics
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

/** Guards against a violated invariant that only fails a request where the settings say that it ends the process. */
class ProcessInvariantsTest {
    private val exits = mutableListOf<Int>()

    @Test
    fun `a violation ends the process only where the settings say so`() {
        val counted = processInvariants(isFatal = false, RelayMetrics(), { exits += it })
        assertFalse(counted.check(Guarantee.SINGLE_HOP, false) { "twice" })
        assertEquals(emptyList(), exits)
        val fatal = processInvariants(isFatal = true, RelayMetrics(), { exits += it })
        assertFailsWith<InvariantViolation> { fatal.check(Guarantee.SINGLE_HOP, false) { "twice" } }
        assertEquals(listOf(EXIT_INVARIANT), exits)
    }
}
