package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Requests in `hue`, which knows the region `north`, for which a newer document comes into force. */
class ChangedHomesTest {
    private class Change(val name: String, val old: List<String>, val new: List<String>?, val regions: Set<String>)

    /** [Change.regions] are those that may run the request afterwards; south is a region that no host knows. */
    private val changes = listOf(
        Change("moved away", listOf("hue"), listOf("north"), setOf("north")),
        Change("moved here", listOf("north"), listOf("hue"), setOf("hue")),
        Change("moved to an unknown region", listOf("hue"), listOf("south"), emptySet()),
        Change("removed", listOf("hue"), emptyList(), setOf("hue", "north")),
        Change("added", emptyList(), listOf("north"), setOf("north")),
        Change("route dropped", listOf("north"), null, setOf("north")),
        Change("route dropped at home", listOf("hue"), null, setOf("hue")),
    )

    private class Failure(val path: String, val statusIfNone: String, val act: (Socket, RawRequest) -> Unit)

    private val failures = mapOf(
        "rejected" to Failure("/once/x", "503") { socket, _ ->
            socket.write("HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        },
        "lost, repeated" to Failure("/safe/x", "502") { socket, _ -> socket.reset() },
        "resumed" to Failure("/resumable/x", "200") { socket, request ->
            socket.write(streamHead(request) + "d\r\nid: 1\ndata:\n\n\r\n")
            Thread.sleep(RESET_DELAY_MS)
            socket.reset()
        },
    )

    private fun streamHead(request: RawRequest) = "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\n" +
        "Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun answer(request: RawRequest) = if (request.line.contains("resumable")) {
        streamHead(request) + "d\r\nid: 2\ndata:\n\n\r\n0\r\n\r\n"
    } else {
        signedResponse(request, "served")
    }

    /** Guards against a second send by the homes of the document with which the request arrived. */
    @Test
    fun `a request that is sent again goes where the document in force allows it`() {
        for (change in changes) for ((name, failure) in failures) checkSentAgain(change, name, failure)
    }

    private fun checkSentAgain(change: Change, name: String, failure: Failure) {
        val sends = CopyOnWriteArrayList<String>()
        var relay: RelayFixture? = null
        val servers = listOf("hue", "north").map { region ->
            ScriptedServer { socket, request, _ ->
                sends += region
                if (sends.size == 1) {
                    relay?.applyRoutes(change.new, number = 2)
                    failure.act(socket, request)
                } else {
                    socket.write(answer(request))
                }
            }
        }
        servers[1].use { north ->
            RelayFixture(servers[0], otherRegionPort = portOf(north), homes = change.old, timeoutMs = 8_000).use {
                relay = it
                val status = it.exchange(failure.path, "POST", body = "b").substringAfter(' ').take(3)
                val label = "${change.name}, $name: $sends"
                assertEquals(if (change.regions.isEmpty()) failure.statusIfNone else "200", status, label)
                val second = sends.drop(1)
                assertEquals(if (change.regions.isEmpty()) 0 else 1, second.size, label)
                second.forEach { region -> assertContains(change.regions, region, label) }
            }
        }
    }

    private fun portOf(server: ScriptedServer) = server.address.substringAfter(':').toInt()

    /** Guards against a request that waits for a slot, or the first servers, in a region that is no home any more. */
    @Test
    fun `a request that waits is placed where the document in force allows it`() {
        val cases = changes.filter { it.old == listOf("hue") }
        for (change in cases) for (isStarting in listOf(false, true)) checkWaiting(change, isStarting)
    }

    private fun checkWaiting(change: Change, isStarting: Boolean) {
        val mayEnd = CountDownLatch(1)
        val sends = CopyOnWriteArrayList<String>()
        val servers = listOf("hue", "north").map { region ->
            ScriptedServer { socket, request, _ ->
                sends += region
                if (request.line.contains("busy")) mayEnd.await()
                socket.write(answer(request))
            }
        }
        servers[1].use { north ->
            val port = portOf(north)
            RelayFixture(
                servers[0],
                otherRegionPort = port,
                homes = change.old,
                capacity = 1,
                timeoutMs = 8_000,
            ).use { relay ->
                val busy = relay.connect()
                if (isStarting) relay.useServers(emptyMap()) else relay.startBusy(busy, sends)
                val response = relay.exchangeAcross(change, isStarting) {
                    // A request that stays here needs a slot or a server; one that does not must need neither.
                    val staysHere = "hue" in change.regions
                    if (staysHere && isStarting) relay.useServers(mapOf("s0" to servers[0].address))
                    if (staysHere && !isStarting) mayEnd.countDown()
                }
                val own = if (isStarting) sends.toList() else sends.drop(1)
                assertOutcome(change, own, response, "${change.name}, starting $isStarting: $sends $response")
                mayEnd.countDown()
                busy.close()
            }
        }
    }

    /** Sends a request that waits, changes the document, calls [afterChange], and returns the response. */
    private fun RelayFixture.exchangeAcross(change: Change, isStarting: Boolean, afterChange: () -> Unit): String =
        connect().use { caller ->
            caller.send("/once/x", "POST", "Connection: close\r\n", "b")
            if (isStarting) Thread.sleep(STARTUP_MS) else awaitTrue { queuedRequests == 1 }
            applyRoutes(change.new, number = 2)
            afterChange()
            String(caller.getInputStream().readAllBytes())
        }

    private fun assertOutcome(change: Change, own: List<String>, response: String, label: String) {
        val status = if (change.regions.isEmpty()) "503" else "200"
        assertEquals(status, response.substringAfter(' ').take(3), label)
        assertEquals(if (change.regions.isEmpty()) 0 else 1, own.size, label)
        own.forEach { region -> assertContains(change.regions, region, label) }
    }

    private fun RelayFixture.startBusy(caller: Socket, sends: List<String>) {
        caller.send("/once/busy", "POST", body = "b")
        awaitTrue { sends.size == 1 }
    }

    /** Guards against a forwarded request that is run here because it was allowed when it was queued. */
    @Test
    fun `a queued forwarded request is refused as not run when its homes move away`() {
        val runs = AtomicInteger()
        val mayEnd = CountDownLatch(1)
        val server = ScriptedServer { socket, request, _ ->
            runs.incrementAndGet()
            mayEnd.await()
            socket.write(signedResponse(request, "served"))
        }
        RelayFixture(server, isForwarded = true, homes = listOf("hue"), capacity = 1, timeoutMs = 8_000).use { relay ->
            relay.connect().use { busy ->
                busy.send("/once/busy", "POST", body = "b")
                awaitTrue { runs.get() == 1 }
                relay.connect().use { caller ->
                    caller.send("/once/x", "POST", "Connection: close\r\n", "b")
                    awaitTrue { relay.queuedRequests == 1 }
                    relay.applyRoutes(listOf("north"), number = 2)
                    val response = String(caller.getInputStream().readAllBytes())
                    assertEquals("HTTP/1.1 508", response.take(12), response)
                    assertContains(response, "Arbutus-Outcome: not_run")
                }
                mayEnd.countDown()
            }
            assertEquals(1, runs.get())
        }
    }

    private companion object {
        const val RESET_DELAY_MS = 50L

        /** Several polls of a request that waits for the first servers. */
        const val STARTUP_MS = 200L
    }
}
