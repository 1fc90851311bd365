package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.io.IOException
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers that send bytes without end, or take too long to send a request. */
class FaultyCallerTest {
    private val head = "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nAttempt: a\r\n"

    /** Sends [text] until the relay closes the connection; returns false if it accepts too much. */
    private fun Socket.writeWithoutEnd(text: String): Boolean {
        var sentBytes = 0L
        try {
            while (sentBytes <= MAX_ACCEPTED_BYTES) {
                write(text)
                sentBytes += text.length
            }
        } catch (_: IOException) {
            return true
        }
        return false
    }

    /** Guards against bytes without end that hold a connection and its memory. */
    @Test
    fun `a caller that sends without end is cut off and others are served`() {
        class Endless(val name: String, val start: String, val repeated: String)
        val filler = "x".repeat(8_192)
        val chunked = "${head}Transfer-Encoding: chunked\r\n\r\n"
        val cases = listOf(
            Endless("request line", "POST /", filler),
            Endless("header line", "${head}Name: ", filler),
            Endless("headers", head, "Name: value\r\n".repeat(400)),
            Endless("chunks", chunked, "400\r\n${"x".repeat(1_024)}\r\n"),
            Endless("chunk size", chunked, "0".repeat(8_192)),
            Endless("chunk extension", "${chunked}1;name=", filler),
            Endless("trailers", "${chunked}1\r\nx\r\n0\r\n", "Name: value\r\n".repeat(400)),
            Endless("pipelined requests", "", "$head\r\n".repeat(100)),
            Endless("no request", "", "\u0000\u0001".repeat(4_096) + "x"),
        )
        val server = ScriptedServer { socket, request, _ ->
            if (request.header("Attempt") != "a") socket.write(signedResponse(request, "ok"))
        }
        RelayFixture(server).use { relay ->
            for (case in cases) {
                relay.connect().use { caller ->
                    caller.write(case.start)
                    assertTrue(caller.writeWithoutEnd(case.repeated), case.name)
                }
                assertContains(relay.exchange("/safe/x"), "200 OK", message = case.name)
            }
            assertEquals(0, relay.bufferedBytes)
        }
    }

    /** Guards against a caller that keeps a connection open with a byte now and then. */
    @Test
    fun `a request that is received too slowly is rejected`() {
        val cases = listOf(
            Case("P", 0, LONG_MS, true),
            Case("\r\n", 0, LONG_MS, true),
            Case(head, 0, LONG_MS, true),
            Case(head, LONG_MS, 0, false),
            Case("${head}Content-Length: 9\r\n\r\nx", 0, LONG_MS, false),
            Case("${head}Content-Length: 9\r\n\r\nx", LONG_MS, 0, true),
            Case("${head}Content-Length: 1\r\n\r\nx", 0, 0, false),
            Case("", 0, 0, false),
        )
        for (case in cases) {
            RelayFixture(ScriptedServer { _, _, _ -> }).use { relay -> relay.check(case) }
        }
    }

    private fun RelayFixture.check(case: Case) = connect().use { caller ->
        caller.write(case.sent)
        if (case.isRejected) awaitRejection(caller, case) else checkAccepted(caller, case)
    }

    private data class Case(val sent: String, val headMs: Long, val requestMs: Long, val isRejected: Boolean)

    private fun RelayFixture.awaitRejection(caller: Socket, case: Case) {
        awaitTrue {
            rejectSlow(case.headMs, case.requestMs)
            caller.getInputStream().available() > 0
        }
        assertTrue(caller.readResponse().startsWith("HTTP/1.1 408"), "$case")
        assertEquals(-1, caller.getInputStream().read(), "$case")
    }

    private fun RelayFixture.checkAccepted(caller: Socket, case: Case) {
        repeat(CHECKS) {
            Thread.sleep(CHECK_INTERVAL_MS)
            rejectSlow(case.headMs, case.requestMs)
        }
        assertEquals(0, caller.getInputStream().available(), "$case")
    }

    /** Guards against a kept connection whose second request is measured from the first one. */
    @Test
    fun `a kept connection without a request is not rejected`() {
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(server).use { relay ->
            relay.connect().use { caller ->
                repeat(CHECKS) {
                    caller.send("/safe/$it", "POST", body = "b")
                    assertContains(caller.readResponse(), "ok")
                    Thread.sleep(CHECK_INTERVAL_MS)
                    relay.rejectSlow(0, 0)
                }
            }
            assertEquals(1, relay.acceptedConnections.get())
        }
    }

    private companion object {
        // The limits of one request, and as much again for the buffers of the sockets.
        const val MAX_ACCEPTED_BYTES = 32L * 1024 * 1024
        const val LONG_MS = 600_000L
        const val CHECKS = 5
        const val CHECK_INTERVAL_MS = 20L
    }
}
