package org.arbutusrelay.relay.ingress

import org.arbutusrelay.relay.RelayFixture
import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.ScriptedServer
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals

/** Callers that go on sending a body after their request was rejected. */
class LingeringCloseTest {
    private val server = ScriptedServer { _, _, _ -> error("a rejected request was sent") }

    private fun head(lengthBytes: Int) =
        "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: $lengthBytes\r\n\r\n"

    /** Guards against a reset by unread bytes that destroys the rejection on its way to the caller. */
    @Test
    fun `a caller reads the rejection after it has sent its whole body`() {
        RelayFixture(server).use { relay ->
            repeat(ROUNDS) {
                relay.connect().use { caller ->
                    caller.write(head(BODY_BYTES))
                    repeat(BODY_BYTES / CHUNK_BYTES) { caller.write("x".repeat(CHUNK_BYTES)) }
                    assertEquals("HTTP/1.1 413 Request Entity Too Large", caller.readResponse().lines().first())
                }
            }
        }
    }

    /** Guards against rejected callers that keep their connection without sending anything. */
    @Test
    fun `the connection of a rejected caller that sends nothing is closed`() {
        RelayFixture(server).use { relay ->
            relay.connect().use { caller ->
                caller.write(head(BODY_BYTES))
                caller.readResponse()
                // The response ended the output of the relay; a reset of the connection ends its input as well.
                val isClosed = generateSequence { runCatching { caller.write("x") }.isFailure }
                    .onEach { Thread.sleep(POLL_MS) }.take(MAX_POLLS).any { it }
                assertEquals(true, isClosed)
            }
        }
    }

    private companion object {
        const val BODY_BYTES = 2 * 1024 * 1024
        const val CHUNK_BYTES = 64 * 1024
        const val ROUNDS = 5
        const val POLL_MS = 50L
        const val MAX_POLLS = 100
    }
}
