package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Backend servers that write a second response after, or inside, the first. */
class SecondResponseTest {
    private enum class Framing(val headers: String) {
        UNFRAMED(""),
        LENGTH("Content-Length: LENGTH\r\n"),
        CHUNKED("Transfer-Encoding: chunked\r\n"),
    }

    private enum class End { CLOSE, RESET, STALL }

    private data class Case(
        val name: String,
        val framing: Framing,
        /** What the server sends after the head of its response to the request with the identifier. */
        val sent: (id: String) -> String,
        val end: End = End.CLOSE,
        /** True if the first response counts as whole; otherwise it is repeated where its route allows that. */
        val isWhole: Boolean = true,
    )

    private val eventPattern = Regex("id: \\d+\ndata: part \\d+\n\n")

    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private val events = (1..LAST_ID).joinToString("") { event(it) }

    private fun head(id: String?, framing: Framing, length: Int): String {
        val idField = if (id == null) "" else "Attempt: $id\r\n"
        val framingFields = framing.headers.replace("LENGTH", "$length")
        return "HTTP/1.1 200 OK\r\n${idField}Signature: s\r\nContent-Type: text/event-stream\r\n$framingFields\r\n"
    }

    private fun failure(id: String, body: String) =
        copy(id, Framing.UNFRAMED, body).replace("200 OK", "500 Internal Server Error")

    private fun encode(framing: Framing, body: String) =
        if (framing == Framing.CHUNKED) "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n" else body

    private fun copy(id: String, framing: Framing, body: String) =
        head(id, framing, body.length) + encode(framing, body)

    private fun unframed(name: String, isWhole: Boolean, end: End = End.CLOSE, sent: (String) -> String) =
        Case(name, Framing.UNFRAMED, sent, end, isWhole)

    /** Cases of which the whole body is [body], and [cut] a part of it. */
    private fun cases(body: String, cut: String): List<Case> = Framing.entries.map {
        Case("after the body, $it", it, { id -> encode(it, body) + copy(id, it, body) })
    } + listOf(
        unframed("after a cut body", false) { cut + copy(it, Framing.UNFRAMED, body) },
        unframed("after no body", false) { copy(it, Framing.UNFRAMED, body) },
        unframed("a copy with a length", true) { body + copy(it, Framing.LENGTH, body) },
        unframed("a cut copy", false) { body + copy(it, Framing.UNFRAMED, body).dropLast(3) },
        unframed("a head only", false) { body + head(it, Framing.UNFRAMED, 0) },
        unframed("a shorter copy after a cut body", false) { cut + copy(it, Framing.UNFRAMED, cut.dropLast(3)) },
        unframed("a failure after a cut body", false) { cut + failure(it, cut) },
        unframed("a failure after the body", false) { body + failure(it, body) },
        unframed("a copy that stalls after a cut body", false, End.STALL) { cut + copy(it, Framing.UNFRAMED, cut) },
        unframed("another copy of the copy", false) { body + copy(it, Framing.UNFRAMED, body).repeat(2) },
        unframed("another body", false) { body + copy(it, Framing.UNFRAMED, body.reversed()) },
        unframed("another request", false) { body + copy("other", Framing.UNFRAMED, "other") },
        unframed("another request after a cut body", false) { cut + copy("other", Framing.UNFRAMED, "other") },
        unframed("a copy that is reset", false, End.RESET) { body + copy(it, Framing.UNFRAMED, body).dropLast(3) },
        Case(
            "a cut body with a length",
            Framing.LENGTH,
            { (cut + copy(it, Framing.LENGTH, body).repeat(3)).take(body.length) },
            isWhole = false,
        ).takeIf { body.length > LONG_BODY },
        Case(
            "a cut chunk",
            Framing.CHUNKED,
            { "400\r\n" + (cut + copy(it, Framing.CHUNKED, body).repeat(9)).take(0x400) + "\r\n0\r\n\r\n" },
            isWhole = false,
        ),
    ).filterNotNull() + headCuts().map { length ->
        unframed("a copy cut after $length bytes of its head", false) {
            body + head(it, Framing.UNFRAMED, 0).take(length)
        }
    }

    private fun headCuts() = (MIN_HEAD_BYTES until head("GET/safe/x", Framing.UNFRAMED, 0).length step HEAD_STEP)

    private fun answer(socket: Socket, request: RawRequest, case: Case, length: Int) {
        val id = checkNotNull(request.header("Attempt"))
        socket.write(head(id, case.framing, length) + case.sent(id))
        Thread.sleep(END_DELAY_MS)
        when (case.end) {
            End.CLOSE -> socket.close()
            End.RESET -> socket.reset()
            End.STALL -> Unit
        }
    }

    /** Guards against the bytes of a second response in the body that a caller receives as complete. */
    @Test
    fun `a caller gets one whole body or a visible failure`() {
        val body = "a whole body of one response\n".repeat(BODY_LINES)
        for (path in listOf("/safe/x", "/once/x")) {
            for (case in cases(body, body.take(body.length / 2))) checkBody(path, case, body)
        }
    }

    private fun checkBody(path: String, case: Case, body: String) {
        var count = 0
        val script = { socket: Socket, request: RawRequest, _: Int ->
            if (count++ == 0) {
                answer(socket, request, case, body.length)
            } else {
                socket.write(signedResponse(request, body))
            }
        }
        val servers = List(2) { ScriptedServer(script) }
        RelayFixture(*servers.toTypedArray()).use { relay ->
            val response = relay.exchange(path, "POST", body = "b")
            val isServed = case.isWhole || path == "/safe/x"
            assertEquals(if (isServed) "200" else "502", response.split(' ')[1], "$path $case")
            if (isServed) assertEquals(body, response.substringAfter("\r\n\r\n"), "$path $case")
            val runs = if (!case.isWhole && path == "/safe/x") 2 else 1
            assertEquals(runs, servers.sumOf { it.requests.size }, "$path $case")
            assertEquals(0, relay.bufferedBytes, "$path $case")
        }
    }

    /** Guards against the bytes of a second response in a stream, and against a cut stream that looks complete. */
    @Test
    fun `a stream has each event once and ends complete or visibly broken`() {
        val cut = event(1) + event(2)
        val inside = listOf("id: 3", "id: 3\n", "id: 3\nda", "id: 3\ndata: part 3\n").flatMap { part ->
            listOf(
                unframed("a copy inside an event after $part", false) {
                    cut + part + copy(it, Framing.UNFRAMED, events)
                },
                unframed("another request inside an event after $part", false) {
                    cut + part + copy("other", Framing.UNFRAMED, events)
                },
                unframed("a response without an identifier inside an event after $part", false) {
                    cut + part + head(null, Framing.UNFRAMED, 0) + events
                },
            )
        }
        for (path in listOf("/resumable/x", "/stream/x")) {
            for (case in cases(events, cut) + inside) checkStream(path, case)
        }
    }

    private fun checkStream(path: String, case: Case) {
        var count = 0
        val script = { socket: Socket, request: RawRequest, _: Int ->
            if (count++ == 0) {
                answer(socket, request, case, events.length)
            } else {
                val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
                val rest = (from..LAST_ID).joinToString("") { event(it) }
                socket.write(copy(checkNotNull(request.header("Attempt")), Framing.CHUNKED, rest))
            }
        }
        val servers = List(2) { ScriptedServer(script) }
        RelayFixture(*servers.toTypedArray()).use { relay ->
            val response = relay.exchange(path, "POST", body = "b")
            val isServed = case.isWhole || path == "/resumable/x"
            val received = eventPattern.findAll(response).joinToString("") { it.value }
            assertTrue(events.startsWith(received), "$path $case: $response")
            val isComplete = received == events && response.endsWith("0\r\n\r\n")
            assertEquals(isServed, isComplete, "$path $case: $response")
            assertEquals(1, Regex("HTTP/1").findAll(response).count(), "$path $case: $response")
            val runs = if (!case.isWhole && path == "/resumable/x") 2 else 1
            assertEquals(runs, servers.sumOf { it.requests.size }, "$path $case")
        }
    }

    /** Guards against a body that is cut, or a request that is repeated, because the body quotes HTTP. */
    @Test
    fun `a body that quotes a response without an identifier is passed on unchanged`() {
        val body = "A response: HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nquoted, by HTTP"
        for (framing in Framing.entries) {
            val server = ScriptedServer { socket, request, _ ->
                answer(socket, request, Case("quotation", framing, { encode(framing, body) }), body.length)
            }
            RelayFixture(server).use { relay ->
                val response = relay.exchange("/safe/x")
                assertEquals(body, response.substringAfter("\r\n\r\n"), "$framing")
                assertEquals(1, server.requests.size, "$framing")
            }
        }
    }

    /** Guards against a copy in the same read as the end of a response that answers the next request. */
    @Test
    fun `a connection with a second response carries no other request`() {
        for (framing in listOf(Framing.LENGTH, Framing.CHUNKED)) {
            val server = ScriptedServer { socket, request, _ ->
                val id = checkNotNull(request.header("Attempt"))
                socket.write(copy(id, framing, request.line).repeat(if ("/1" in request.line) 2 else 1))
            }
            RelayFixture(server, capacity = 1).use { relay ->
                val callers = List(3) { relay.connect() }
                callers.forEachIndexed { index, caller -> caller.send("/once/${index + 1}", "POST", body = "b") }
                callers.forEachIndexed { index, caller ->
                    val response = caller.use { it.readResponse() }
                    assertContains(response, "200 OK", message = "$framing")
                    assertContains(response, "POST /once/${index + 1} ", message = "$framing")
                }
            }
        }
    }

    /** Guards against sound requests that are held back because their server answers twice. */
    @Test
    fun `a second response is no evidence of a crash`() {
        val ends = listOf("", "id: 1\nda")
        for (part in ends) {
            val server = ScriptedServer { socket, request, _ ->
                answer(socket, request, unframed("copy", false) { part + copy(it, Framing.UNFRAMED, events) }, 0)
            }
            RelayFixture(server).use { relay ->
                for (round in 1..6) {
                    val response = relay.exchange("/stream/$round", "POST", "Parts: first,last\r\n", "b")
                    assertFalse(response.endsWith("0\r\n\r\n"), response)
                    relay.startServers(round + 1L)
                }
                assertEquals(6, server.requests.size)
                assertEquals(emptySet(), relay.crashEvidence.heldBack)
            }
        }
    }

    private companion object {
        const val LAST_ID = 12
        const val BODY_LINES = 20
        const val LONG_BODY = 400
        const val END_DELAY_MS = 20L

        /** A shorter beginning of a head may be the end of a text. */
        const val MIN_HEAD_BYTES = 5
        const val HEAD_STEP = 7
    }
}
