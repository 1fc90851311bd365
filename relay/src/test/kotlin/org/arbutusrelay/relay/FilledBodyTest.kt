package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Backend servers that stop before the length of a response, which a second response then fills. */
class FilledBodyTest {
    /** When the parts of the second response are written; each part follows the one before after a pause. */
    private enum class Timing {
        /** Both responses in one segment. */
        AT_ONCE,

        /** The second response after the cut one. */
        LATE,

        /** A pause where the length of the first response ends. */
        SPLIT_AT_THE_LENGTH,

        /** A pause two bytes after the length. */
        SPLIT_BEHIND_THE_LENGTH,

        /** A pause before, at and behind the length. */
        IN_PIECES,
    }

    private data class Case(
        val path: String,
        /** Bytes that the first response lacks. */
        val missing: Int,
        val timing: Timing,
        /** True if each response of each server is cut and filled, so that no repeat can succeed. */
        val isLasting: Boolean = false,
        val isForwarded: Boolean = false,
    )

    private val body = "a whole body of one response\n".repeat(BODY_LINES)

    private fun pieces(request: RawRequest, case: Case): List<String> {
        val response = signedResponse(request, body)
        val cut = response.dropLast(case.missing)
        val filling = response.take(case.missing)
        val rest = response.drop(case.missing)
        return when (case.timing) {
            Timing.AT_ONCE -> listOf(cut + response)
            Timing.LATE -> listOf(cut, response)
            Timing.SPLIT_AT_THE_LENGTH -> listOf(cut + filling, rest)
            Timing.SPLIT_BEHIND_THE_LENGTH -> listOf(cut + filling + rest.take(2), rest.drop(2))
            Timing.IN_PIECES -> listOf(cut, filling, rest.take(1), rest.drop(1))
        }
    }

    /** Writes the response to [request], and keeps the connection open. */
    private fun answer(socket: Socket, request: RawRequest, case: Case) {
        pieces(request, case).forEachIndexed { index, piece ->
            if (index > 0) Thread.sleep(PAUSE_MS)
            socket.write(piece)
        }
    }

    private fun cases(): List<Case> {
        val headLength = signedResponse(RawRequest("", listOf("Attempt: POST/safe/x"), ""), body).indexOf(body)
        val counts = listOf(1, 2, 4, 5, 12, 40, headLength - 1)
        return listOf("/safe/x", "/once/x").flatMap { path ->
            counts.flatMap { missing -> Timing.entries.map { Case(path, missing, it) } } +
                listOf(1, 4, 40).flatMap { missing ->
                    listOf(Timing.AT_ONCE, Timing.LATE).flatMap {
                        val case = Case(path, missing, it)
                        listOf(case.copy(isLasting = true), case.copy(isForwarded = true))
                    }
                }
        }
    }

    private fun serverScript(case: Case): (Socket, RawRequest, Int) -> Unit {
        val count = AtomicInteger()
        return { socket, request, _ ->
            if (count.getAndIncrement() == 0 || case.isLasting) {
                answer(socket, request, case)
            } else {
                socket.write(signedResponse(request, body))
            }
        }
    }

    private fun exchange(case: Case): String {
        val script = serverScript(case)
        val relay = RelayFixture(ScriptedServer(script), ScriptedServer(script), isForwarded = case.isForwarded)
        return relay.use {
            if (!case.isForwarded) return it.exchange(case.path, "POST", body = "b")
            RelayFixture(otherRegionPort = it.port).use { first -> first.exchange(case.path, "POST", body = "b") }
        }
    }

    /** Returns what is wrong with the response to [case], or null. */
    private fun fault(case: Case): String? {
        val response = exchange(case)
        val status = response.split(' ').getOrNull(1)
        val isRepeated = case.path == "/safe/x" && !case.isLasting
        val isServed = status == "200" && response.substringAfter("\r\n\r\n") == body
        return when {
            // The first host may have no other host to which it could send the request again.
            case.isForwarded && status == "502" -> null

            isRepeated && isServed -> null

            !isRepeated && status == "502" -> null

            else -> "$case: $status ...${response.takeLast(case.missing + 4)}"
        }
    }

    /**
     * Guards against a cut response that counts as whole because the beginning of a second response fills it.
     *
     * A body with a length is cut by less than the head of a response, so that the rest of the head comes behind it.
     */
    @Test
    fun `a body that a second response has filled never reaches a caller`() {
        val cases = cases()
        val faults = cases.mapNotNull(::fault)
        assertTrue(faults.isEmpty(), "${faults.size} of ${cases.size} cases:\n" + faults.joinToString("\n"))
    }

    /** Guards against an interim head, which names no request, that fills a cut body before the second response. */
    @Test
    fun `a body that an interim head has filled never reaches a caller`() {
        val interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        for (missing in listOf(1, 12, 30, interim.length - 1, interim.length, interim.length + 1)) {
            for (pauseMs in listOf(0L, PAUSE_MS)) {
                val server = ScriptedServer { socket, request, _ ->
                    val response = signedResponse(request, body)
                    val second = interim + response
                    socket.write(response.dropLast(missing) + second.take(missing))
                    Thread.sleep(pauseMs)
                    socket.write(second.drop(missing))
                }
                val status = RelayFixture(server).use { it.exchange("/once/1", "POST", body = "b") }.split(' ')[1]
                assertEquals("502", status, "$missing missing, pause $pauseMs")
            }
        }
    }

    private fun check(response: String, body: String, case: String) {
        assertEquals("200", response.split(' ').getOrNull(1), case)
        assertEquals(body, response.substringAfter("\r\n\r\n"), case)
    }

    /** Guards against whole bodies that fail, or connections that go wrong, because the end is like that of a head. */
    @Test
    fun `a whole body that ends like the beginning of a head reaches its caller`() {
        val ends = listOf("H", "HT", "HTTP", "HTTP/1.1", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nServer: x\r\n")
        // What comes behind the body and can't continue the head.
        val additions = listOf("", "x", "HHTTP/1.1 200 OK\r\n\r\n")
        for (end in ends) {
            val fitting = additions.filter { it.isEmpty() || end.length < MIN_STATUS_LINE }
            for (addition in fitting) checkEnd(end, addition)
        }
    }

    private fun checkEnd(end: String, addition: String) {
        val server = ScriptedServer { socket, request, _ ->
            socket.write(signedResponse(request, "${request.line} $end") + addition)
        }
        val paths = if (addition.isEmpty()) listOf("/once/1", "/safe/2", "/once/3") else listOf("/once/1")
        RelayFixture(server).use { relay ->
            for (path in paths) {
                check(relay.exchange(path, "POST", body = "b"), "POST $path HTTP/1.1 $end", "$end + $addition")
            }
        }
        assertEquals(paths.size, server.requests.size, "$end + $addition")
    }

    /** Guards against a whole body that fails because its server closes the connection behind it. */
    @Test
    fun `a whole body whose connection closes is whole whatever its end is`() {
        for (end in listOf("H", "HTTP", "HTTP/1.1 200 OK")) {
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, end))
                socket.close()
            }
            RelayFixture(server).use { check(it.exchange("/once/1", "POST", body = "b"), end, end) }
        }
    }

    /** Guards against a doubtful body that counts as whole because its connection is reset. */
    @Test
    fun `a body with a doubtful end is not whole after a reset`() {
        for (end in listOf("H", "HTTP/1.1 200 OK")) {
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, end))
                Thread.sleep(PAUSE_MS)
                socket.reset()
            }
            RelayFixture(server).use {
                assertTrue(it.exchange("/once/reset", "POST", body = "b").startsWith("HTTP/1.1 502"), end)
            }
        }
    }

    private companion object {
        const val BODY_LINES = 20
        const val PAUSE_MS = 30L

        /** Length of `HTTP/1.1 200`; after more, any text may be a part of the reason phrase. */
        const val MIN_STATUS_LINE = 12
    }
}
