package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

/** An entry host of `hue`, which is no home; it knows the homes `north` and `south`, and `east`, which is none. */
class EntryHostOutsideHomesTest {
    private class Case(val name: String, val reachable: String, val homes: List<String>, val status: String)

    private val cases = listOf(
        Case("one of two homes", "north", listOf("north", "south"), "200"),
        Case("no home", "none", listOf("north", "south"), "503"),
        Case("a home that is not known", "north", listOf("west"), "503"),
    )

    /** Guards against a body that is sent to another region which is no home, because no home can be reached. */
    @Test
    fun `a caller that stays on a host outside its homes is served by a home or refused`() {
        for (case in cases) for (path in listOf("/once/", "/safe/")) check(case, path)
    }

    private fun check(case: Case, path: String) {
        val servers = List(3) {
            ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "served")) }
        }
        val home = RelayFixture(servers[0], place = HostPlace("north"), isForwarded = true, homes = case.homes)
        val east = RelayFixture(
            servers[1],
            place = HostPlace("east", bindAddress = EAST_ADDRESS, port = home.port),
            isForwarded = true,
        )
        val north = if (case.reachable == "north") RelayFixture.LOOPBACK else SILENT_ADDRESSES[1]
        val hosts = mapOf("east" to EAST_ADDRESS, "south" to SILENT_ADDRESSES[0], "north" to north)
        val outside =
            RelayFixture(
                servers[2],
                otherRegionPort = home.port,
                place = HostPlace(otherRegions = hosts),
                homes = case.homes,
            )
        outside.connect().use { sendAll(it, case, path) }
        listOf(home, east, outside).forEach { it.close() }
        val label = "${case.name} $path"
        assertEquals(0, east.acceptedConnections.get(), label)
        assertEquals(0, servers[2].requests.size, label)
        assertEquals(if (case.status == "200") REQUESTS else 0, servers[0].requests.size, label)
    }

    private fun sendAll(caller: Socket, case: Case, path: String) = repeat(REQUESTS) {
        caller.send("$path$it", "POST", body = "b")
        assertEquals(case.status, caller.readResponse().substringAfter(' ').take(3), "${case.name} $path")
    }

    private companion object {
        const val REQUESTS = 3

        /** Loopback addresses, because the hosts of all regions listen on one port. */
        const val EAST_ADDRESS = "127.0.0.3"

        /** Nothing listens there, so that connections are refused. */
        val SILENT_ADDRESSES = listOf("127.0.0.4", "127.0.0.5")
    }
}
