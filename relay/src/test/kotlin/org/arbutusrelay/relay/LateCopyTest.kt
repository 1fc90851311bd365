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
}
