package org.arbutusrelay.relay

import org.arbutusrelay.relay.exchange.ForwardTargets
import org.arbutusrelay.schema.message.HostState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class ForwardTargetsTest {
    private fun host(name: String) = HostState(name, "north", "north-a", 1, 1, "$name:1", "$name:2", 0, 0, false, false)

    /** Guards against requests that each wait a second for a host that has ended. */
    @Test
    fun `a host that could not be connected to is avoided for a while`() {
        val targets = ForwardTargets(forwardPort = 9).apply { update(listOf(host("a"), host("b"))) }
        val preferred = targets.select("north", "key", emptySet(), nowMs = 0)
        targets.recordUnreachable(checkNotNull(preferred), nowMs = 0)
        val other = targets.select("north", "key", emptySet(), nowMs = 1_000)
        assertNotEquals(preferred, other)
        // With no other host left it is better than none.
        assertEquals(preferred, targets.select("north", "key", setOf(checkNotNull(other)), nowMs = 1_000))
        assertEquals(preferred, targets.select("north", "key", emptySet(), nowMs = 2_001))
    }
}
