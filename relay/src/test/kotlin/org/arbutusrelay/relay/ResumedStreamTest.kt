package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams that are resumed after their first server stopped inside an event. */
class ResumedStreamTest {
    private enum class Way { DIRECT, OTHER_REGION, FORWARDING_HOST }

    private enum class End { SILENCE, RESET }

    private data class Case(val cut: String, val lineEnd: String, val way: Way, val end: End, val isFromCaller: Boolean)

    private fun event(id: Int, lineEnd: String) = "id: $id${lineEnd}data: part $id$lineEnd$lineEnd"

    private fun head(request: RawRequest) =
        "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun body(response: String): String {
        var rest = response.substringAfter("\r\n\r\n")
        val text = StringBuilder()
        while (true) {
            val length = rest.substringBefore("\r\n", "").toIntOrNull(radix = 16) ?: return text.toString()
            text.append(rest.substringAfter("\r\n").take(length))
            rest = rest.substringAfter("\r\n").drop(length + 2)
        }
    }

    private fun cuts(lineEnd: String) = listOf(
        "i",
        "id: ",
        "id: 5",
        "id: 5$lineEnd",
        "id: 5${lineEnd}data: pa",
        "id: 5${lineEnd}data: part 5",
        "id: 5${lineEnd}data: part 5$lineEnd",
        event(5, lineEnd).dropLast(1),
    )

    /** Guards against a part of an event of one server that begins the first event of the next. */
    @Test
    fun `a part of an event of a silent server is not joined to the event of the next`() {
        val cases = listOf("\n", "\r\n").flatMap { lineEnd ->
            cuts(lineEnd).map { Case(it, lineEnd, Way.DIRECT, End.SILENCE, isFromCaller = false) }
        } + Way.entries.flatMap { way ->
            End.entries.flatMap { end ->
                listOf(false, true).map { Case("id: 5\ndata: pa", "\n", way, end, isFromCaller = it) }
            }
        }
        val failures = cases.parallelStream().map { case -> runCatching { check(case) }.exceptionOrNull() }.toList()
        assertEquals(emptyList(), failures.mapNotNull { it?.message })
    }

    private fun check(case: Case) {
        val count = AtomicInteger()
        val script = { socket: Socket, request: RawRequest, _: Int ->
            val from = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
            if (count.getAndIncrement() == 0) {
                val events = (from..4).joinToString("") { chunk(event(it, case.lineEnd)) }
                socket.write(head(request) + events + chunk(case.cut))
                if (case.end == End.RESET) {
                    Thread.sleep(RESET_DELAY_MS)
                    socket.reset()
                }
            } else {
                val events = (from..LAST_ID).joinToString("") { chunk(event(it, case.lineEnd)) }
                socket.write(head(request) + events + "0\r\n\r\n")
            }
        }
        val servers = List(if (case.way == Way.OTHER_REGION) 1 else 2) { ScriptedServer(script) }
        val response = when (case.way) {
            Way.DIRECT -> RelayFixture(*servers.toTypedArray(), timeoutMs = TIMEOUT_MS).use { exchange(it, case) }

            // The first host sees the connection of the other host break off inside an event.
            Way.OTHER_REGION -> servers.single().use { server ->
                val port = server.address.substringAfter(':').toInt()
                RelayFixture(otherRegionPort = port, timeoutMs = TIMEOUT_MS).use { exchange(it, case) }
            }

            Way.FORWARDING_HOST -> RelayFixture(
                *servers.toTypedArray(),
                isForwarded = true,
                timeoutMs = TIMEOUT_MS,
            ).use { second ->
                RelayFixture(otherRegionPort = second.port, timeoutMs = TIMEOUT_MS).use { exchange(it, case) }
            }
        }
        val from = if (case.isFromCaller) 3 else 1
        assertEquals((from..LAST_ID).joinToString("") { event(it, case.lineEnd) }, body(response), "$case")
        assertTrue(response.endsWith("0\r\n\r\n"), "$case")
        assertEquals(2, servers.sumOf { it.requests.size }, "$case")
        val resumedAfter = servers.flatMap { it.requests }.mapNotNull { it.header("Last-Event-Id") }.max()
        assertEquals("4", resumedAfter, "$case")
    }

    private fun exchange(relay: RelayFixture, case: Case): String =
        relay.exchange("/resumable/x", "POST", if (case.isFromCaller) "Last-Event-Id: 2\r\n" else "", "b")

    private companion object {
        const val LAST_ID = 7
        const val RESET_DELAY_MS = 50L

        /** Longer than the 1.5 s after which a stream without progress is resumed. */
        const val TIMEOUT_MS = 8_000L
    }
}
