package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Servers that are silent for longer than the timeout of their route while the host stops. */
class SilentServerStopTest {
    private class Case(val path: String, val first: String, val rest: String)

    private val streamHead = "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSignature: s\r\n" +
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    /** Guards against giving up a silent attempt when the stop then refuses the next one. */
    @Test
    fun `a silent attempt goes on when a stop allows no other`() {
        val cases = listOf(
            Case("/resumable/silent", "", streamHead + "d\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n"),
            Case("/resumable/inside", streamHead + "5\r\nid: 1\r\n", "8\r\n\ndata:\n\n\r\n0\r\n\r\n"),
            Case("/safe/x", "", signedResponse(RawRequest("", listOf("Attempt: %s"), ""), "served")),
        )
        cases.forEach(::check)
    }

    private fun check(case: Case) {
        val servers = List(2) {
            ScriptedServer { socket, request, _ ->
                val id = request.header("Attempt")
                socket.write(case.first.format(id))
                Thread.sleep(SILENCE_MS)
                socket.write(case.rest.format(id))
            }
        }
        RelayFixture(*servers.toTypedArray(), timeoutMs = 60_000).use { relay ->
            relay.connect().use { caller ->
                caller.send(case.path, "POST", body = "b")
                awaitTrue { servers.sumOf { it.requests.size } == 1 }
                val stop = thread { relay.stopGracefully() }
                val response = String(caller.getInputStream().readAllBytes())
                stop.join()
                assertContains(response.lineSequence().first(), "200", message = "${case.path} $response")
                assertEquals(1, servers.sumOf { it.requests.size }, case.path)
            }
        }
    }

    private companion object {
        /** Longer than the second after which an attempt without progress counts as silent. */
        const val SILENCE_MS = 2_000L
    }
}
