package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.BackendDeparture
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BackendServerRegistryTest {
    private val registry = BackendServerRegistry(leaseMs = 6_000)

    private fun server(
        name: String,
        version: Long,
        incarnation: Long = 1,
        address: String = "10.0.0.1:80",
        isLeaving: Boolean = false,
        coldMs: Long = 0,
        leaseMs: Long = 6_000,
    ) = BackendServerState(
        name, "drafting", "hue", "hue-a", address, incarnation, version, 8, emptyList(), emptyList(), "", 0, 0,
        isLeaving, leaseMs, coldMs,
    )

    private fun names(nowMs: Long) = registry.states(nowMs).filterNot { it.isLeaving }.map { it.name }

    /** Guards against announcements that arrive late, out of order or after the server's address was reused. */
    @Test
    fun `an older announcement never replaces a newer one`() {
        data class Case(val first: BackendServerState, val second: BackendServerState, val expected: List<String>)
        val cases = listOf(
            Case(server("a", 5, isLeaving = true), server("a", 4), emptyList()),
            Case(server("a", 5), server("a", 6, isLeaving = true), emptyList()),
            Case(server("a", 5, incarnation = 2), server("a", 9, incarnation = 1, isLeaving = true), listOf("a")),
            Case(server("a", 5, incarnation = 1, isLeaving = true), server("a", 1, incarnation = 2), listOf("a")),
            Case(server("a", 5, incarnation = 1), server("b", 1, incarnation = 2), listOf("b")),
            Case(server("b", 1, incarnation = 2), server("a", 5, incarnation = 1), listOf("b")),
        )
        for (case in cases) {
            val newRegistry = BackendServerRegistry(leaseMs = 6_000)
            newRegistry.announce(case.first, 0)
            newRegistry.announce(case.second, 10)
            assertEquals(case.expected, newRegistry.states(20).filterNot { it.isLeaving }.map { it.name }, "$case")
        }
    }

    /** Guards against an announcement from another server that moves a server to another service or zone. */
    @Test
    fun `an incarnation keeps its service and its zone`() {
        registry.announce(server("a", 1), 0)
        registry.announce(server("a", 2).copy(service = "other"), 10)
        registry.announce(server("a", 3).copy(availabilityZone = "hue-b"), 20)
        assertEquals("drafting" to "hue-a", registry.states(30).single().let { it.service to it.availabilityZone })
    }

    /** Guards against requests to a server that left, caused by an announcement delayed past its leaving notice. */
    @Test
    fun `a departure is final for its incarnation`() {
        registry.announce(server("a", 5), 0)
        registry.recordDeparture("a", null, 10)
        registry.announce(server("a", 6), 20)
        assertEquals(emptyList(), names(30))
        registry.announce(server("a", 1, incarnation = 2), 40)
        assertEquals(listOf("a"), names(50))
        assertFalse(registry.merge(BackendDeparture("a", 1, 45), 55), "the departure is already known")
        assertEquals(listOf("a"), names(60))
    }

    /** Guards against losing a departure that arrives before the announcement of its incarnation. */
    @Test
    fun `a departure from a digest applies to a server announced later`() {
        assertTrue(registry.merge(BackendDeparture("a", 3, 0), 0))
        registry.announce(server("a", 9, incarnation = 3), 10)
        assertEquals(emptyList(), names(20))
    }

    /** Guards against state hosts that renew a dead server's lease with each other's digests. */
    @Test
    fun `digests do not extend a lease`() {
        val other = BackendServerRegistry(leaseMs = 6_000)
        registry.announce(server("a", 1), 0)
        for (nowMs in 1_000L..8_000L step 1_000) {
            registry.states(nowMs).forEach { other.merge(it, nowMs) }
            other.states(nowMs).forEach { registry.merge(it, nowMs) }
            registry.tick(nowMs)
            other.tick(nowMs)
        }
        assertEquals(emptyList(), registry.states(8_000) + other.states(8_000))
    }

    /** Guards against overload of a server that became cold after its last announcement. */
    @Test
    fun `cold time runs from an announcement or from markCold`() {
        registry.announce(server("a", 1, coldMs = 3_000), 0)
        assertEquals(2_000, registry.states(1_000).single().coldMs)
        registry.announce(server("a", 2), 3_100)
        assertEquals(0, registry.states(3_100).single().coldMs)
        registry.markCold("hue-a", 3_000, 3_200)
        assertEquals(3_000, registry.states(3_200).single().coldMs)
        registry.announce(server("a", 3), 4_000)
        assertEquals(0, registry.states(4_000).single().coldMs)
    }

    /** Guards against an old load that replaces a newer one, and against loads of an earlier incarnation. */
    @Test
    fun `the newest load of the current incarnation is used`() {
        registry.announce(server("a", 1, incarnation = 2), 0)
        registry.recordLoad(BackendLoad("a", 2, 7, 1, ageMs = 10), 1_000)
        registry.recordLoad(BackendLoad("a", 2, 3, 0, ageMs = 500), 1_000)
        registry.recordLoad(BackendLoad("a", 1, 5, 5, ageMs = 0), 1_000)
        assertEquals(7L to 1L, registry.states(1_000).single().let { it.running to it.queued })
    }

    /** Guards against a server that all hosts avoid for ever because no response corrects the last load seen there. */
    @Test
    fun `a load that is not observed again decays`() {
        registry.announce(server("a", 1), 0)
        registry.recordLoad(BackendLoad("a", 1, 8, 4, ageMs = 0), 0)
        val loads = listOf(0L, 1_500L, 3_000L, 5_900L).map { nowMs ->
            registry.announce(server("a", 2 + nowMs), nowMs)
            registry.states(nowMs).single().let { it.running to it.queued }
        }
        assertEquals(listOf(8L to 4L, 4L to 2L, 2L to 1L, 1L to 0L), loads)
    }
}
