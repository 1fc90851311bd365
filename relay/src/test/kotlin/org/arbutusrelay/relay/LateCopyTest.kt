package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class LateCopyTest {
    /** Guards against the late copy of a response that is taken for the response to the next send of its request. */
    @Test
    fun `a late copy of a rejection does not answer the next send of the request`() {
        data class Case(val name: String, val path: String, val method: String, val isForwarded: Boolean)
        val cases = listOf(
            Case("forwarded again by the other host", "/once/x", "POST", isForwarded = true),
            Case("forwarded again, idempotent", "/safe/x", "GET", isForwarded = true),
            Case("forwarded again, a stream", "/stream/x", "GET", isForwarded = true),
            Case("sent again by the caller", "/once/x", "POST", isForwarded = false),
        )
        for (case in cases) {
            val runs = AtomicInteger()
            val rejected = CopyOnWriteArrayList<Socket>()
            val isFull = AtomicBoolean(true)
            val server = ScriptedServer { socket, request, _ ->
                val refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt: ${request.header("Attempt")}\r\n" +
                    "Content-Length: 0\r\n\r\n"
                if (isFull.get()) {
                    rejected += socket
                    socket.write(refusal)
                } else {
                    runs.incrementAndGet()
                    // A copy comes late, where the next response on the connection is due.
                    val copy = if (socket in rejected) refusal else ""
                    socket.write(copy + signedResponse(request, "data: ran\n\n"))
                }
            }
            RelayFixture(server, isForwarded = case.isForwarded).use { relay ->
                relay.connect().use {
                    it.send(case.path, case.method)
                    assertContains(it.readResponse(), "503", message = case.name)
                }
                isFull.set(false)
                val response = relay.exchange(case.path, case.method)
                assertContains(response, "ran", message = case.name)
                assertEquals(1, runs.get(), case.name)
            }
        }
    }

    /** Guards against an answer of another host that is matched to its connection in place of one send. */
    @Test
    fun `an answer of another host counts for the send that it names only`() {
        data class Case(val name: String, val copy: (RawRequest) -> String, val expected: String)
        val refusal = "HTTP/1.1 503 Busy\r\nArbutus-Outcome: not_run\r\nContent-Length: 0\r\n"
        val ran = { request: RawRequest ->
            signedResponse(
                request,
                "ran",
            ).replace("Attempt:", "Arbutus-Send: ${request.header("Arbutus-Send")}\r\nAttempt:")
        }
        val cases = listOf(
            Case("a refusal of another send", { "${refusal}Arbutus-Send: other.1\r\n\r\n" }, "HTTP/1.1 200"),
            Case("an answer to another send", { request -> ran(request).replace("Send: ", "Send: x") }, "HTTP/1.1 200"),
            // It does not tell which request was not run; the second one has run.
            Case("a refusal without a send", { "$refusal\r\n" }, "HTTP/1.1 502"),
        )
        for (case in cases) {
            val host = ScriptedServer { socket, request, number ->
                socket.write((if (number > 1) case.copy(request) else "") + ran(request))
            }
            RelayFixture(otherRegionPort = host.address.substringAfter(':').toInt()).use { relay ->
                assertContains(relay.exchange("/once/1", "POST"), "ran", message = case.name)
                val response = relay.exchange("/once/2", "POST")
                assertTrue(response.startsWith(case.expected), "${case.name}: $response")
                assertEquals(1, host.sockets.size, case.name)
            }
            host.close()
        }
    }

    /** Guards against a backend server whose headers are taken for those of a host of the relay. */
    @Test
    fun `a backend server states no outcome for another`() {
        for (isForwarded in listOf(false, true)) {
            val server = ScriptedServer { socket, request, _ ->
                val response = signedResponse(request, "ran")
                socket.write(response.replace("Attempt:", "Arbutus-Outcome: not_run\r\nArbutus-Send: x\r\nAttempt:"))
            }
            RelayFixture(server, isForwarded = isForwarded).use { relay ->
                val response = relay.exchange("/once/1", "POST", "Arbutus-Send: a.1\r\n")
                assertContains(response, "ran")
                assertFalse("Arbutus-Outcome" in response, response)
                assertEquals(isForwarded, "arbutus-send: a.1" in response.lowercase(), response)
                assertEquals(1, server.requests.size)
            }
        }
    }
}
