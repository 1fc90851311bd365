package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Responses with neither a length nor chunks, which end with their connection, on longer ways. */
class UnframedResponseTest {
    private fun event(id: Int, data: String = "part $id") = "id: $id\ndata: $data\n\n"

    private fun Socket.writeUnframed(request: RawRequest, body: String) = write(
        "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n\r\n$body",
    )

    private fun Socket.end(isReset: Boolean) {
        Thread.sleep(END_DELAY_MS)
        if (isReset) reset() else close()
    }

    /** Guards against an incomplete response that the host of another region passes on as complete. */
    @Test
    fun `a response keeps its end through the host of another region`() {
        val events = event(1) + event(2)
        val cases = listOf(
            Case("/once/x", "a whole body", isReset = false, isComplete = true),
            Case("/once/x", "a whole body", isReset = true, isComplete = false),
            Case("/stream/x", events, isReset = false, isComplete = true),
            Case("/stream/x", events, isReset = true, isComplete = false),
            Case("/stream/x", events + "id: 3\nda", isReset = false, isComplete = false),
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ ->
                socket.writeUnframed(request, case.body)
                socket.end(case.isReset)
            }
            RelayFixture(server, isForwarded = true).use { second ->
                val response = RelayFixture(otherRegionPort = second.port).use {
                    it.exchange(case.path, "POST", body = "b")
                }
                checkEnd(response, case)
                assertEquals(1, server.requests.size, "$case")
            }
        }
    }

    private data class Case(val path: String, val body: String, val isReset: Boolean, val isComplete: Boolean)

    private fun checkEnd(response: String, case: Case) {
        if (case.path == "/once/x") {
            assertTrue(response.startsWith(if (case.isComplete) "HTTP/1.1 200" else "HTTP/1.1 502"), response)
            assertEquals(case.isComplete, response.endsWith("\r\n\r\na whole body"), "$case $response")
        } else {
            assertContains(response, event(2).trim(), message = "$case")
            assertEquals(case.isComplete, response.endsWith("0\r\n\r\n"), "$case $response")
        }
    }

    /** Guards against a response that is broken off, or taken for complete, while its caller reads slowly. */
    @Test
    fun `a response keeps its end while the caller reads slowly`() {
        for (isReset in listOf(false, true)) {
            val data = "x".repeat(EVENT_BYTES)
            val server = ScriptedServer { socket, request, _ ->
                socket.writeUnframed(request, (1..EVENTS).joinToString("") { event(it, data) })
                socket.end(isReset)
            }
            RelayFixture(server, timeoutMs = LONG_TIMEOUT_MS).use { relay ->
                val response = relay.connect().use(::readSlowly)
                assertEquals(!isReset, response.endsWith("0\r\n\r\n"), "isReset=$isReset")
                val events = Regex("id: \\d+\n").findAll(response).count()
                assertTrue(isReset || events == EVENTS, "$events events")
            }
        }
    }

    private fun readSlowly(caller: Socket): String {
        caller.send("/stream/x", "POST", "Connection: close\r\n", "b")
        Thread.sleep(PAUSE_MS)
        return String(caller.getInputStream().readAllBytes())
    }

    private companion object {
        const val END_DELAY_MS = 50L
        const val EVENTS = 1_000
        const val EVENT_BYTES = 16_384
        const val LONG_TIMEOUT_MS = 20_000L
        const val PAUSE_MS = 500L
    }
}
