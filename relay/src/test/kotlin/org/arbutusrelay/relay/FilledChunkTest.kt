package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Backend servers that stop inside a chunk, or inside a stream, which a second response then fills. */
class FilledChunkTest {
    private data class Case(
        val path: String,
        /** Bytes that the last chunk, or the body with a length, lacks. */
        val missing: Int,
        val isChunked: Boolean,
        val isForwarded: Boolean = false,
    )

    private val text = "a whole body of one response\n".repeat(LAST_ID)
    private val events = (1..LAST_ID).joinToString("") { "id: $it\ndata: part $it\n\n" }

    private fun head(framing: String) = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n$framing"

    private fun bodyOf(path: String) = if ("/safe/" in path || "/once/" in path) text else events

    private fun response(request: RawRequest, isChunked: Boolean): String {
        val body = bodyOf(request.line)
        val id = "Attempt: ${request.header("Attempt")}\r\n\r\n"
        if (!isChunked) return head("Content-Length: ${body.length}\r\n") + id + body
        val chunks = body.chunked(CHUNK).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" }
        return head("Transfer-Encoding: chunked\r\n") + id + chunks + "0\r\n\r\n"
    }

    /** Returns a response that is cut inside its last chunk with a size, or before its length, and a second one. */
    private fun cutAndFilled(request: RawRequest, case: Case): String {
        val response = response(request, case.isChunked)
        if (!case.isChunked) return response.dropLast(case.missing) + response
        val start = response.indexOf("\r\n\r\n") + "\r\n\r\n".length
        // One chunk that is long enough for each count of missing bytes.
        val size = "${(CUT_BYTES + case.missing).toString(16)}\r\n"
        return response.take(start) + size + bodyOf(request.line).take(CUT_BYTES) + response
    }

    private fun cases(): List<Case> = listOf("/safe/x", "/once/x", "/stream/x", "/resumable/x").flatMap { path ->
        val request = RawRequest("POST $path HTTP/1.1", listOf("Attempt: POST$path"), "")
        val headLength = response(request, isChunked = true).indexOf("\r\n\r\n") + "\r\n\r\n".length
        val few = listOf(1, 4, 5, 12, 40, headLength - 2, headLength)
        // The end of a chunk may be taken from any place of the head, whatever the route is.
        val chunked = if (path == "/once/x") (1..headLength).toList() else few
        chunked.map { Case(path, it, isChunked = true) } + few.map { Case(path, it, isChunked = false) } +
            few.map { Case(path, it, isChunked = true, isForwarded = true) }
    }

    private fun exchange(case: Case): String {
        val count = AtomicInteger()
        val server = ScriptedServer { socket, request, _ ->
            val isFirst = count.getAndIncrement() == 0
            socket.write(if (isFirst) cutAndFilled(request, case) else response(request, case.isChunked))
        }
        val second = ScriptedServer { socket, request, _ ->
            val isFirst = count.getAndIncrement() == 0
            socket.write(if (isFirst) cutAndFilled(request, case) else response(request, case.isChunked))
        }
        return RelayFixture(server, second, isForwarded = case.isForwarded).use { relay ->
            if (!case.isForwarded) return relay.exchange(case.path, "POST", body = "b")
            RelayFixture(otherRegionPort = relay.port).use { it.exchange(case.path, "POST", body = "b") }
        }
    }

    private fun isComplete(response: String) = response.endsWith("0\r\n\r\n") ||
        Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(response)?.let {
            response.substringAfter("\r\n\r\n").length >= it.groupValues[1].toInt()
        } == true

    /** Returns what is wrong with the response to [case], or null. */
    private fun fault(case: Case): String? {
        val response = exchange(case)
        val body = response.substringAfter("\r\n\r\n")
        val content = if ("chunked" in response.substringBefore("\r\n\r\n")) unchunk(body) else body
        return when {
            !response.startsWith("HTTP/1.1 200") -> null

            // A stream that breaks off visibly has the events before the cut only.
            !isComplete(response) && events.startsWith(content) -> null

            content == bodyOf(case.path) -> null

            else -> "$case: $response"
        }
    }

    private fun unchunk(body: String): String {
        val content = StringBuilder()
        var rest = body
        while (true) {
            val size = rest.substringBefore("\r\n").toIntOrNull(16) ?: return content.toString()
            rest = rest.substringAfter("\r\n")
            content.append(rest.take(size))
            rest = rest.drop(size + 2)
        }
    }

    /** Guards against a cut chunk, or a cut stream, that counts as whole because a second response fills it. */
    @Test
    fun `a chunk that a second response has filled never reaches a caller`() {
        val cases = cases()
        val faults = cases.mapNotNull(::fault)
        assertTrue(faults.isEmpty(), "${faults.size} of ${cases.size} cases:\n" + faults.joinToString("\n"))
    }

    /** Guards against the checks of this test, which would pass over a whole response that is read wrongly. */
    @Test
    fun `a whole response reaches its caller`() {
        for (isChunked in listOf(true, false)) {
            for (path in listOf("/safe/x", "/stream/x")) {
                val server = ScriptedServer { socket, request, _ -> socket.write(response(request, isChunked)) }
                val response = RelayFixture(server).use { it.exchange(path, "POST", body = "b") }
                val body = response.substringAfter("\r\n\r\n")
                assertTrue(isComplete(response), response)
                assertEquals(bodyOf(path), if (path == "/stream/x") unchunk(body) else body)
            }
        }
    }

    private companion object {
        const val LAST_ID = 12
        const val CHUNK = 40
        const val CUT_BYTES = 30
    }
}
