package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StreamForwardingTest {
    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun head(request: RawRequest, signature: String = "s") =
        "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: $signature\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun Socket.stream(request: RawRequest, ids: IntRange, signature: String = "s") {
        write(head(request, signature) + ids.joinToString("") { chunk(event(it)) } + "0\r\n\r\n")
    }

    private fun body(response: String): String {
        val text = response.substringAfter("\r\n\r\n")
        return Regex("""[0-9a-f]+\r\n((?:(?!\r\n).|\n)+)\r\n""").findAll(text).joinToString("") { it.groupValues[1] }
    }

    /** Guards against an interrupted stream that looks complete or is resumed where its route does not allow it. */
    @Test
    fun `an interrupted stream is resumed or visibly aborted`() {
        data class Case(val path: String, val isComplete: Boolean, val runs: Int)
        for (case in listOf(Case("/resumable/x", true, 2), Case("/stream/x", false, 1))) {
            var count = 0
            val script = { socket: Socket, request: RawRequest, _: Int ->
                if (count++ == 0) {
                    socket.write(head(request) + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\nda"))
                    Thread.sleep(50)
                    socket.reset()
                } else {
                    val from = checkNotNull(request.header("Last-Event-Id")).toInt() + 1
                    socket.stream(request, from..5, signature = "other")
                }
            }
            val servers = listOf(ScriptedServer(script), ScriptedServer(script))
            RelayFixture(*servers.toTypedArray()).use { relay ->
                val response = relay.exchange(case.path, "POST", body = "b")
                val expected = if (case.isComplete) 1..5 else 1..2
                assertEquals(expected.joinToString("") { event(it) }, body(response), "$case")
                assertEquals(case.isComplete, response.endsWith("0\r\n\r\n"), "$case")
                assertTrue("Signature: s" in response && "other" !in response, "$case keeps the first head")
                assertEquals(case.runs, servers.sumOf { it.requests.size }, "$case")
            }
        }
    }

    /** Guards against an error, or the whole of another response, in the middle of a stream that has begun. */
    @Test
    fun `a stream that has begun goes on with events or is visibly aborted`() {
        data class Case(val name: String, val status: String, val headers: String, val body: String, val ids: IntRange?)
        val events = "Content-Type: text/event-stream\r\n"
        val json = "Content-Type: application/json\r\n"
        val all = (1..5).joinToString("") { event(it) }
        val cases = listOf(
            Case("an error of the request", "404 Not Found", json, "{}\n\n", 1..2),
            Case("an error of the server", "500 Failed", json, "{}\n\n", 1..2),
            Case("an error with events", "409 Conflict", events, all, 1..2),
            Case("a redirect", "302 Found", "Location: /\r\n", "", 1..2),
            Case("another type", "200 OK", json, "{}\n\n", 1..2),
            Case("no content", "204 No Content", events, "", 1..2),
            Case("a part", "206 Partial Content", events, all, 1..2),
            Case("a refusal", "503 Full", "Not-Executed: 1\r\n$json", "{}\n\n", 1..2),
            Case("a misdirected request", "421 Misdirected", json, "{}\n\n", 1..2),
            Case("an error of another host", "502 Bad Gateway", "Arbutus-Outcome: unknown\r\n$json", "{}\n\n", 1..2),
            Case("a refusal of another host", "503 Full", "Arbutus-Outcome: not_run\r\n$json", "{}\n\n", 1..2),
            Case("all events from the first on", "200 OK", events, all, 1..5),
            Case("an end without further events", "200 OK", events, "", 1..2).copy(ids = null),
        )
        for (case in cases) {
            var count = 0
            val script = { socket: Socket, request: RawRequest, _: Int ->
                if (count++ == 0) {
                    socket.write(head(request) + chunk(event(1)) + chunk(event(2)))
                    Thread.sleep(50)
                    socket.reset()
                } else {
                    val length = if (case.status.startsWith("204")) "" else "Content-Length: ${case.body.length}\r\n"
                    val id = "Attempt: ${request.header("Attempt")}\r\nSignature: s\r\n"
                    socket.write("HTTP/1.1 ${case.status}\r\n$id${case.headers}$length\r\n${case.body}")
                }
            }
            RelayFixture(ScriptedServer(script), ScriptedServer(script)).use { relay ->
                val response = relay.exchange("/resumable/x", "POST", body = "b")
                assertEquals((case.ids ?: 1..2).joinToString("") { event(it) }, body(response), case.name)
                val isComplete = case.ids == null || case.ids == 1..5
                assertEquals(isComplete, response.endsWith("0\r\n\r\n"), case.name)
            }
        }
    }

    /** Guards against events that a caller receives twice because they have no identifier to resume after. */
    @Test
    fun `a stream without identifiers is not resumed`() {
        val event = "data: part\n\n"
        val servers = List(2) {
            ScriptedServer { socket, request, _ ->
                socket.write(head(request) + chunk(event))
                Thread.sleep(50)
                socket.reset()
            }
        }
        RelayFixture(*servers.toTypedArray()).use { relay ->
            val response = relay.exchange("/resumable/x", "POST", body = "b")
            assertEquals(event, body(response))
            assertFalse(response.endsWith("0\r\n\r\n"))
            assertEquals(1, servers.sumOf { it.requests.size })
        }
    }

    /** Guards against bytes of another response that the caller receives as an event. */
    @Test
    fun `an event without an identifier ends the attempt of a stream with identifiers`() {
        data class Case(val path: String, val odd: String, val isComplete: Boolean, val runs: Int)
        val cases = listOf(
            "data: x\n\n",
            "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n",
            "id: 3id: 3\ndata: x\n\n",
        ).flatMap {
            listOf(Case("/resumable/x", it, true, 2), Case("/stream/x", it, false, 1))
        }
        for (case in cases) {
            var count = 0
            val script = { socket: Socket, request: RawRequest, _: Int ->
                if (count++ == 0) {
                    socket.write(head(request) + chunk(event(1) + event(2) + case.odd + event(3)) + "0\r\n\r\n")
                } else {
                    socket.stream(request, checkNotNull(request.header("Last-Event-Id")).toInt() + 1..5)
                }
            }
            val servers = List(2) { ScriptedServer(script) }
            RelayFixture(*servers.toTypedArray()).use { relay ->
                val response = relay.exchange(case.path, "POST", body = "b")
                val expected = if (case.isComplete) 1..5 else 1..2
                assertEquals(expected.joinToString("") { event(it) }, body(response), "$case")
                assertEquals(case.isComplete, response.endsWith("0\r\n\r\n"), "$case")
                assertEquals(case.runs, servers.sumOf { it.requests.size }, "$case")
            }
        }
    }

    /** Guards against buffering events until the stream is complete. */
    @Test
    fun `events are forwarded as they arrive`() {
        val server = ScriptedServer { socket, request, _ -> socket.write(head(request) + chunk(event(1))) }
        RelayFixture(server).use { relay ->
            relay.connect().use { caller ->
                with(RelayFixture.Companion) { caller.send("/stream/x", "POST", body = "b") }
                val received = StringBuilder()
                while (event(1) !in received) received.append(caller.getInputStream().read().toChar())
            }
        }
    }

    /** Guards against misreading the end of a stream that only the close of the connection delimits. */
    @Test
    fun `a stream without framing ends with its connection`() {
        data class Case(val head: String, val rest: String, val isReset: Boolean, val isComplete: Boolean)
        val cases = listOf("HTTP/1.1 200 OK", "HTTP/1.0 200 OK").flatMap { line ->
            listOf("", "Connection: close\r\n", "Connection: keep-alive\r\nKeep-Alive: timeout=9\r\n").flatMap {
                val head = "$line\r\n$it"
                listOf(
                    Case(head, "", isReset = false, isComplete = true),
                    Case(head, "", isReset = true, isComplete = false),
                    Case(head, "id: 3\nda", isReset = false, isComplete = false),
                    Case(head, "id: 3\ndata: part 3\n", isReset = false, isComplete = false),
                    Case(head, "id: 3\nda", isReset = true, isComplete = false),
                )
            }
        }
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ ->
                val unframed = head(request).replace("Transfer-Encoding: chunked\r\n", "")
                socket.write(unframed.replace("HTTP/1.1 200 OK\r\n", case.head) + event(1) + event(2) + case.rest)
                Thread.sleep(50)
                if (case.isReset) socket.reset() else socket.close()
            }
            RelayFixture(server).use { relay ->
                val response = relay.exchange("/stream/x", "POST", body = "b")
                assertEquals(event(1) + event(2), body(response), "$case")
                assertEquals(case.isComplete, response.endsWith("0\r\n\r\n"), "$case")
            }
        }
    }

    /** Guards against reporting a stream that ends inside an event as complete. */
    @Test
    fun `a stream that ends inside an event is reported as incomplete`() {
        val server = ScriptedServer { socket, request, _ ->
            socket.write(head(request) + chunk(event(1)) + chunk("id: 2\nda") + "0\r\n\r\n")
        }
        RelayFixture(server).use { relay ->
            val response = relay.exchange("/stream/x", "POST", body = "b")
            assertEquals(event(1), body(response))
            assertFalse(response.endsWith("0\r\n\r\n"))
        }
    }
}
