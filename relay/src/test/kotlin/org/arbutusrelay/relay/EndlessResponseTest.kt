package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertTrue

/** Backend servers that send bytes without end. */
class EndlessResponseTest {
    private data class Case(
        val name: String,
        val path: String,
        /** Sent behind the head again and again, until the connection is closed. */
        val part: String,
        val headers: String = CHUNKED,
        /** Sent once, before [part]. */
        val beginning: String = "",
    )

    private val cases = listOf(
        Case("log lines in chunks", SAFE, chunk("INFO:access:HTTP/1.1 200 OK\r\n".repeat(100))),
        Case("log lines without a length", SAFE, "a:HTTP/1.1 200 \r\n".repeat(100), ""),
        Case("log lines in chunks of a byte", SAFE, "a:HTTP/1.1 200 \r\n".map { chunk("$it") }.joinToString("")),
        Case("heads that are quoted", SAFE, chunk("HTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK\r\n\r\n".repeat(50))),
        Case("log lines in a stream", STREAM, chunk("INFO:access:HTTP/1.1 200 OK\r\n".repeat(100))),
        Case("comments", STREAM, chunk(": HTTP/1.1 200 OK\n\n".repeat(50))),
        Case("an event whose lines do not end", STREAM, chunk("data: HTTP/1.1 200 OK\n".repeat(50))),
        Case("an event without an end in chunks of a byte", STREAM, chunk("x").repeat(1_000)),
        Case("chunk extensions", SAFE, "1;" + "x".repeat(4_000) + "\r\n \r\n"),
        Case("trailers", SAFE, "X: HTTP/1.1 200 OK\r\n".repeat(100), beginning = "0\r\n"),
        Case("interim heads", SAFE, "HTTP/1.1 100 Continue\r\n" + "X: y\r\n".repeat(1_000) + "\r\n", "", INTERIM),
    )

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun Socket.writeWithoutEnd(case: Case, request: RawRequest) {
        if (case.beginning != INTERIM) {
            val fields = "Attempt: ${request.header("Attempt")}\r\nSignature: s\r\n${case.headers}"
            write("HTTP/1.1 200 OK\r\n$fields\r\n${case.beginning}")
        }
        while (true) write(case.part)
    }

    /** Guards against an entry host that answers nothing else while it reads the response of one server. */
    @Test
    fun `other requests are served while a server sends without end`() {
        for (case in cases) {
            val ended = CountDownLatch(1)
            val server = ScriptedServer { socket, request, _ ->
                if ("endless" in request.line) {
                    try {
                        socket.writeWithoutEnd(case, request)
                    } catch (e: IOException) {
                        ended.countDown()
                        throw e
                    }
                }
                socket.write(signedResponse(request, "sound"))
            }
            RelayFixture(server).use { relay ->
                relay.connect().use { caller ->
                    caller.send(case.path)
                    thread(isDaemon = true) { runCatching { caller.getInputStream().readAllBytes() } }
                    repeat(SOUND_REQUESTS) {
                        assertContains(relay.exchange("/safe/sound$it"), "200 OK", message = case.name)
                    }
                    val isEnded = ended.await(RelayFixture.TIMEOUT_MS.toLong(), TimeUnit.MILLISECONDS)
                    assertTrue(isEnded, "${case.name}: the connection of the server is not closed")
                }
            }
        }
    }

    private companion object {
        const val SAFE = "/safe/endless"
        const val STREAM = "/stream/endless"
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val INTERIM = "interim"
        const val SOUND_REQUESTS = 20
    }
}
