package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals

/** Hosts of three regions, `hue`, `north` and `south`, whose documents name different homes. */
class ForwardedHomesTest {
    private class Case(
        val name: String,
        val sender: List<String>,
        val north: List<String>,
        val south: List<String>,
        val status: Int,
        /** Region that runs the request, or null. */
        val ranIn: String?,
        val hasNorthDocument: Boolean = true,
    )

    private val cases = listOf(
        Case("all agree", listOf("north"), listOf("north"), listOf("north"), 200, "north"),
        Case("receiver forbids, none else", listOf("north"), listOf("south"), listOf("south"), 503, null),
        Case("receiver forbids, another", listOf("north", "south"), listOf("south"), listOf("south"), 200, "south"),
        Case("both receivers forbid", listOf("north", "south"), listOf("hue"), listOf("hue"), 503, null),
        Case("receiver has no homes", listOf("north"), emptyList(), emptyList(), 200, "north"),
        Case("receiver has no document", listOf("north"), emptyList(), emptyList(), 503, null, false),
        Case(
            "receiver has no document, another",
            listOf("north", "south"),
            emptyList(),
            listOf("south"),
            200,
            "south",
            hasNorthDocument = false,
        ),
    )

    /**
     * Guards against a host that runs a forwarded request which its own document keeps from its region, and against a
     * sender that then reports a failure although another region may run it.
     */
    @Test
    fun `a forwarded request runs only where the document of the receiver allows it`() {
        for (case in cases) {
            // A host without a document holds a request for a second, after which the sender repeats a safe one.
            val paths = listOf("/once/x", "/stream/x") + listOfNotNull("/safe/x".takeIf { case.hasNorthDocument })
            paths.forEach { check(case, it) }
        }
    }

    private fun check(case: Case, path: String) {
        val servers = listOf("hue", "north", "south").associateWith { region ->
            ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "id: 1\ndata: $region\n\n")) }
        }
        RelayFixture(
            servers.getValue("north"),
            place = HostPlace("north"),
            isForwarded = true,
            homes = case.north,
            hasRoutes = case.hasNorthDocument,
        ).use { north ->
            val south = RelayFixture(
                servers.getValue("south"),
                place = HostPlace("south", bindAddress = SOUTH_ADDRESS, port = north.port),
                isForwarded = true,
                homes = case.south,
            )
            val hosts = mapOf("north" to RelayFixture.LOOPBACK, "south" to SOUTH_ADDRESS)
            val sender = RelayFixture(
                servers.getValue("hue"),
                otherRegionPort = north.port,
                place = HostPlace(otherRegions = hosts),
                homes = case.sender,
                timeoutMs = 5_000,
            )
            south.use { sender.use { assertResult(case, path, it.exchange(path, "POST", body = "b"), servers) } }
        }
    }

    private fun assertResult(case: Case, path: String, response: String, servers: Map<String, ScriptedServer>) {
        val ranIn = servers.flatMap { (region, server) -> server.requests.map { region } }
        assertEquals(listOfNotNull(case.ranIn), ranIn, "${case.name} $path $response")
        assertEquals("HTTP/1.1 ${case.status}", response.take(12), "${case.name} $path $response")
    }

    private companion object {
        /** Another loopback address, because the hosts of all regions listen on one port. */
        const val SOUTH_ADDRESS = "127.0.0.2"
    }
}
