package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

/** Hosts whose documents differ for a time, seen from a host of `hue`. */
class RegionRefusalTest {
    private fun portOf(server: ScriptedServer) = server.address.substringAfter(':').toInt()

    /** Guards against a request that is refused because one host of its only home has an older document. */
    @Test
    fun `another host of the region runs a request that the first refuses`() {
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "served")) }
        val statuses = ArrayList<String>()
        RelayFixture(server, place = HostPlace("north"), isForwarded = true, homes = listOf("south")).use { old ->
            val current = RelayFixture(
                ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "served")) },
                place = HostPlace("north", bindAddress = "127.0.0.2", port = old.port),
                isForwarded = true,
                homes = listOf("north"),
            )
            val sender = RelayFixture(
                ScriptedServer { _, _, _ -> },
                otherRegionPort = old.port,
                homes = listOf("north"),
                timeoutMs = 5_000,
            )
            sender.useEntryHosts(listOf("127.0.0.1" to "north", "127.0.0.2" to "north"))
            current.use {
                sender.use { repeat(8) { statuses += sender.exchange("/once/x", "POST", body = "b").take(12) } }
            }
        }
        assertEquals(setOf("HTTP/1.1 200"), statuses.toSet(), "$statuses")
    }

    /** Guards against refusals for one route that keep the requests of other routes from the region. */
    @Test
    fun `refusals by the document do not open the breaker of the region`() {
        val north = ScriptedServer { socket, request, _ ->
            if (request.line.contains("once")) {
                socket.write(
                    "HTTP/1.1 508 Loop Detected\r\nArbutus-Outcome: not_run\r\n" +
                        "Arbutus-Send: ${request.header("Arbutus-Send")}\r\nContent-Length: 0\r\n\r\n",
                )
            } else {
                socket.write(signedResponse(request, "served"))
            }
        }
        north.use {
            RelayFixture(
                ScriptedServer { _, _, _ -> },
                otherRegionPort = portOf(north),
                homes = listOf("north"),
                timeoutMs = 5_000,
            ).use { relay ->
                repeat(3) { relay.exchange("/once/x", "POST", body = "b") }
                val response = relay.exchange("/safe/x", "POST", body = "b")
                assertEquals("HTTP/1.1 200", response.take(12), "${north.requests.map { it.line }} $response")
            }
        }
    }

    /** Guards against a queued request that is placed by its old homes while the one before it is placed anew. */
    @Test
    fun `queued requests are all checked before one of them is placed`() {
        val mayEnd = CountDownLatch(1)
        val sends = CopyOnWriteArrayList<String>()
        val server = ScriptedServer { socket, request, _ ->
            sends += request.line
            if (request.line.contains("busy")) mayEnd.await()
            socket.write(signedResponse(request, "served"))
        }
        RelayFixture(server, otherRegionPort = 1, homes = listOf("hue"), capacity = 1, timeoutMs = 8_000).use { relay ->
            // The scheduler still knows the region north, but its last entry host has left.
            relay.useEntryHosts(emptyList())
            val callers = listOf("busy", "x", "y", "z").mapIndexed { index, name ->
                relay.connect().also { caller ->
                    caller.send("/once/$name", "POST", "Connection: close\r\n", "b")
                    if (index == 0) awaitTrue { sends.size == 1 } else awaitTrue { relay.queuedRequests == index }
                }
            }
            relay.applyView(listOf("north"), 2, mapOf("s0" to server.address, "s1" to server.address))
            val responses = callers.drop(1).map { String(it.getInputStream().readAllBytes()).take(12) }
            mayEnd.countDown()
            callers.forEach { it.close() }
            assertEquals(1, sends.size, "$sends $responses")
        }
    }

    /** Guards against a queued request that takes a freed slot before the next poll has applied its new homes. */
    @Test
    fun `a slot that becomes free at once is not given to a request whose homes have moved`() {
        repeat(3) {
            val mayEnd = CountDownLatch(1)
            val sends = CopyOnWriteArrayList<String>()
            val server = ScriptedServer { socket, request, _ ->
                sends += request.line
                if (request.line.contains("busy")) mayEnd.await()
                socket.write(signedResponse(request, "served"))
            }
            RelayFixture(server, homes = listOf("hue"), capacity = 1, timeoutMs = 8_000).use { relay ->
                val callers = listOf("busy", "x").mapIndexed { index, name ->
                    relay.connect().also { caller ->
                        caller.send("/once/$name", "POST", "Connection: close\r\n", "b")
                        if (index == 0) awaitTrue { sends.size == 1 } else awaitTrue { relay.queuedRequests == 1 }
                    }
                }
                relay.applyRoutesLate(listOf("south"), 2, busyMs = 100) { mayEnd.countDown() }
                val responses = callers.map { String(it.getInputStream().readAllBytes()).take(12) }
                callers.forEach { it.close() }
                assertEquals(1, sends.size, "$sends $responses")
            }
        }
    }
}
