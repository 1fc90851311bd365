package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Backend servers that send bytes without end, stall while sending, or send a response twice. */
class FaultyServerTest {
    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun streamHead(request: RawRequest) =
        "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n"

    private fun rest(from: Int) = (from..LAST_ID).joinToString("") { chunk(event(it)) } + "0\r\n\r\n"

    /** Sends [text] until the relay closes the connection; returns false if it accepts too much or takes too long. */
    private fun Socket.writeWithoutEnd(text: String): Boolean {
        val startNs = System.nanoTime()
        var sentBytes = 0L
        try {
            while ((System.nanoTime() - startNs) / NS_PER_MS < LIMIT_MS && sentBytes <= MAX_ACCEPTED_BYTES) {
                write(text)
                sentBytes += text.length
            }
        } catch (_: IOException) {
            return true
        }
        return false
    }

    private class Endless(val name: String, val path: String, val start: (RawRequest) -> String, val repeated: String)

    /** Guards against bytes without end that hold a connection, its memory, or the caller. */
    @Test
    fun `a server that sends without end is cut off and the caller gets an error`() {
        val filler = "x".repeat(8_192)
        val cases = listOf(
            Endless("status line", "/once/x", { "HTTP/1.1 200 " }, filler),
            Endless("header line", "/once/x", { "HTTP/1.1 200 OK\r\nName: " }, filler),
            Endless("headers", "/once/x", { "HTTP/1.1 200 OK\r\n" }, "Name: value\r\n".repeat(400)),
            Endless("interim responses", "/once/x", { "" }, "HTTP/1.1 100 Continue\r\n\r\n".repeat(20)),
            Endless("foreign responses", "/once/x", {
                ""
            }, "HTTP/1.1 200 OK\r\nAttempt: o\r\nContent-Length: 0\r\n\r\n"),
            Endless("buffered body", "/once/x", { streamHead(it) }, chunk(filler)),
            Endless(
                "body of a refusal",
                "/once/x",
                { streamHead(it).replace("200 OK\r\n", "503 Full\r\nNot-Executed: 1\r\n") },
                chunk(filler),
            ),
            Endless("event", "/stream/x", { streamHead(it) + chunk("id: 1\ndata: ") }, chunk(filler)),
            Endless("trailers", "/once/x", { streamHead(it) + "0\r\n" }, "Name: value\r\n".repeat(400)),
        )
        for (case in cases) {
            var isCutOff = false
            val server = ScriptedServer { socket, request, _ ->
                socket.write(case.start(request))
                isCutOff = socket.writeWithoutEnd(case.repeated)
            }
            RelayFixture(server, timeoutMs = LIMIT_MS * 2).use { relay ->
                val response = relay.exchange(case.path, "POST", body = "b")
                assertFalse(response.startsWith("HTTP/1.1 2"), "${case.name}: $response")
                val waitUntilNs = System.nanoTime() + LIMIT_MS * NS_PER_MS
                while (!isCutOff && System.nanoTime() < waitUntilNs) Thread.sleep(POLL_MS)
                assertTrue(isCutOff, case.name)
                assertEquals(0, relay.bufferedBytes, case.name)
            }
        }
    }

    /** Guards against a stalled stream that single bytes keep open, and against cutting a slow but sound one. */
    @Test
    fun `a stream without progress is resumed elsewhere and a slow one is not`() {
        class Case(val name: String, val pieces: List<String>, val runs: Int)
        val comment = ":\n"
        val cases = listOf(
            Case("a byte now and then", List(PIECES) { comment }, 2),
            Case("an event now and then", (2..PIECES + 1).map { event(it) }, 1),
        )
        for (case in cases) {
            val script = { socket: Socket, request: RawRequest, _: Int ->
                val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                if (from > 1) {
                    socket.write(streamHead(request) + rest(from))
                } else {
                    socket.write(streamHead(request) + chunk(event(1)))
                    for (piece in case.pieces) {
                        Thread.sleep(PIECE_INTERVAL_MS)
                        socket.write(chunk(piece))
                    }
                    val sent = if (case.runs == 1) case.pieces.size + 1 else 1
                    socket.write(rest(sent + 1))
                }
            }
            val servers = List(2) { ScriptedServer(script) }
            RelayFixture(*servers.toTypedArray(), timeoutMs = 20_000, targetPauseMs = TARGET_PAUSE_MS).use { relay ->
                val response = relay.exchange("/resumable/x", "POST", body = "b")
                assertTrue(response.endsWith("0\r\n\r\n"), "${case.name}: $response")
                assertContains(response, "data: part $LAST_ID")
                assertEquals(case.runs, servers.sumOf { it.requests.size }, case.name)
            }
        }
    }

    /** Guards against a second copy of a response that reaches the next caller, or that is taken for its refusal. */
    @Test
    fun `a late copy on a reused connection is not the next response`() {
        class Case(val name: String, val copy: String, val expected: String)
        val refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        val cases = listOf(
            Case("a copy of the response", "", "HTTP/1.1 200"),
            // It says that nothing was executed, but not which request; the second one has run.
            Case("a refusal without an identifier", refusal, "HTTP/1.1 502"),
        )
        for (case in cases) {
            var first: RawRequest? = null
            val server = ScriptedServer { socket, request, _ ->
                val earlier = first
                if (earlier == null) {
                    first = request
                    socket.write(signedResponse(request, "first"))
                } else {
                    socket.write(
                        case.copy.ifEmpty {
                            signedResponse(earlier, "first")
                        } + signedResponse(request, "second"),
                    )
                }
            }
            RelayFixture(server).use { relay ->
                relay.connect().use {
                    it.send("/once/1", "POST", body = "b")
                    assertContains(it.readResponse(), "first")
                }
                val response = relay.exchange("/once/2", "POST", body = "b")
                assertTrue(response.startsWith(case.expected), "${case.name}: $response")
                assertFalse("first" in response, case.name)
                assertEquals(2, server.requests.size, case.name)
            }
        }
    }

    /** Guards against a stale refusal that says "not run" of a request that its server is running. */
    @Test
    fun `a stale refusal is not taken for the refusal of a repeatable request`() {
        for (status in listOf("503 Full\r\nNot-Executed: 1", "421 Misdirected\r\nNot-Executed: 1")) {
            val refusal = "HTTP/1.1 $status\r\nContent-Length: 0\r\n"
            var isRunning = false
            val server = ScriptedServer { socket, request, _ ->
                when {
                    "/safe/1" in request.line -> socket.write(signedResponse(request, "first"))

                    isRunning -> socket.write("${refusal}Attempt: ${request.header("Attempt")}\r\n\r\n")

                    else -> {
                        isRunning = true
                        socket.write("$refusal\r\n")
                    }
                }
            }
            RelayFixture(server).use { relay ->
                assertContains(relay.exchange("/safe/1"), "first")
                val response = relay.exchange("/safe/2")
                assertTrue(response.startsWith("HTTP/1.1 502"), "$status: $response")
                // The connection on which a response is due.
                awaitTrue { server.closed.size == 1 }
            }
        }
    }

    /** Guards against a refusal written twice, whose copy has the identifier of the request that is sent again. */
    @Test
    fun `a request is sent to a server again on a connection of its own`() {
        var runs = 0
        val refused = CopyOnWriteArrayList<Socket>()
        val script = { socket: Socket, request: RawRequest, _: Int ->
            val refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt: ${request.header("Attempt")}\r\n" +
                "Content-Length: 0\r\n\r\n"
            if (refused.size < 2) {
                refused += socket
                socket.write(refusal)
            } else {
                runs++
                socket.write(if (socket in refused) refusal else signedResponse(request, "ran"))
            }
        }
        RelayFixture(ScriptedServer(script), ScriptedServer(script)).use { relay ->
            assertContains(relay.exchange("/once/1", "POST", body = "b"), "ran")
            assertEquals(1, runs)
        }
    }

    /** Guards against a response that is lost because its server did not read the request to its end. */
    @Test
    fun `a response that arrives before the body is sent reaches the caller`() {
        val refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        data class Case(val response: (RawRequest) -> String, val expected: String)
        val cases = listOf(
            Case({ signedResponse(it, "early", "Connection: close\r\n") }, "200 OK"),
            Case({ refusal }, "503"),
            Case({ signedResponse(it, "early") }, "200 OK"),
        )
        for (case in cases) {
            val server = ScriptedServer(readsBodies = false) { socket, request, _ ->
                socket.write(case.response(request))
                socket.close()
            }
            RelayFixture(server, maxBodyBytes = LONG_BODY_BYTES).use { relay ->
                repeat(3) {
                    val response = relay.exchange("/once/x", "POST", body = "b".repeat(LONG_BODY_BYTES))
                    assertContains(response.lineSequence().first(), case.expected)
                }
            }
        }
    }

    /** Guards against a body without length that is taken for complete after a reset, or never ends. */
    @Test
    fun `a body is complete only with the end that its head announces`() {
        data class Case(val line: String, val headers: String, val isReset: Boolean, val isComplete: Boolean)
        val cases = listOf("HTTP/1.1 200 OK", "HTTP/1.0 200 OK").flatMap { line ->
            listOf("", "Connection: close\r\n", "Connection: keep-alive\r\n").flatMap {
                listOf(false, true).map { isReset -> Case(line, it, isReset, !isReset) }
            }
        } + listOf("Content-Length: 99\r\n", "Transfer-Encoding: chunked\r\n").flatMap { headers ->
            listOf(false, true).map { Case("HTTP/1.1 200 OK", headers, it, false) }
        }
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ ->
                val id = "Attempt: ${request.header("Attempt")}\r\nSignature: s\r\n"
                val body = if ("chunked" in case.headers) chunk("a whole body") else "a whole body"
                socket.write("${case.line}\r\n$id${case.headers}\r\n$body")
                Thread.sleep(EARLY_CLOSE_MS)
                if (case.isReset) socket.reset() else socket.close()
            }
            RelayFixture(server).use { relay ->
                val response = relay.exchange("/once/x", "POST", body = "b")
                assertTrue(
                    response.startsWith(if (case.isComplete) "HTTP/1.1 200" else "HTTP/1.1 502"),
                    "$case $response",
                )
                assertEquals(case.isComplete, response.endsWith("\r\n\r\na whole body"), "$case $response")
            }
        }
    }

    private companion object {
        const val EARLY_CLOSE_MS = 50L
        const val LONG_BODY_BYTES = 16 * 1024 * 1024
        const val LIMIT_MS = 9_000L

        // The limit of all buffered responses, and as much again for the buffers of the sockets.
        const val MAX_ACCEPTED_BYTES = 32L * 1024 * 1024
        const val NS_PER_MS = 1_000_000L
        const val POLL_MS = 10L
        const val PIECES = 6
        const val LAST_ID = 9

        // A pause between pieces is longer than the route's pause and shorter than the timeout of a stalled stream.
        const val TARGET_PAUSE_MS = 1_500L
        const val PIECE_INTERVAL_MS = 1_700L
    }
}
