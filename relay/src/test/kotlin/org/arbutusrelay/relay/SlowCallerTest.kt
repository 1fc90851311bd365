package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers that read a stream more slowly than their server sends it. */
class SlowCallerTest {
    /** Guards against a second run of a stream whose caller, not whose server, makes no progress. */
    @Test
    fun `a stream whose caller pauses is not resumed on another server`() {
        val data = "x".repeat(EVENT_BYTES)
        val servers = List(2) {
            ScriptedServer { socket, request, _ ->
                val head = "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n" +
                    "Content-Type: text/event-stream\r\n"
                val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                val events = (from..EVENTS).joinToString("") { "id: $it\ndata: $data\n\n" }
                socket.write("${head}Content-Length: ${events.length}\r\n\r\n$events")
            }
        }
        RelayFixture(*servers.toTypedArray(), timeoutMs = TIMEOUT_MS).use { relay ->
            val response = relay.connect(receiveBufferBytes = SMALL_BUFFER_BYTES).use { caller ->
                caller.send("/resumable/x", "POST", "Connection: close\r\n", "b")
                Thread.sleep(PAUSE_MS)
                String(caller.getInputStream().readAllBytes())
            }
            val ids = Regex("id: (\\d+)\n").findAll(response).map { it.groupValues[1].toInt() }.toList()
            assertEquals((1..EVENTS).toList(), ids)
            assertTrue(response.endsWith("0\r\n\r\n"))
            assertEquals(1, servers.sumOf { it.requests.size })
        }
    }

    private companion object {
        const val EVENTS = 1_000
        const val EVENT_BYTES = 16_384
        const val SMALL_BUFFER_BYTES = 65_536
        const val TIMEOUT_MS = 20_000L

        /** Longer than the 1.5 s after which a stream without progress is resumed. */
        const val PAUSE_MS = 3_000L
    }
}
