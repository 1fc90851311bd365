package org.arbutusrelay.relay.node

import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.RequestProfile
import kotlin.test.Test
import kotlin.test.assertEquals

class LeavingServersTest {
    private fun attempt(name: String, incarnation: Long): PlacedAttempt {
        val profile =
            RequestProfile(RequestId("host", 1, 1), "caller", "svc", "svc", 1, true, 1_000, listOf("hue"))
        return PlacedAttempt(profile, name, incarnation, "address", 1, 0, region = "hue")
    }

    /** Guards against a routing table that is rebuilt for each response of a server that leaves. */
    @Test
    fun `each incarnation is reported once`() {
        val reported = mutableListOf<Pair<String, Long>>()
        val servers = LeavingServers { name, incarnation -> reported += name to incarnation }
        listOf("a" to 1L, "a" to 1L, "b" to 1L, "a" to 1L, "a" to 2L, "a" to 2L)
            .forEach { (name, incarnation) -> servers.record(attempt(name, incarnation)) }
        assertEquals(listOf("a" to 1L, "b" to 1L, "a" to 2L), reported)
    }
}
