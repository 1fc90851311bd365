package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.backend.DropReason
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against streams that lose, repeat or reorder events, or that end early without an error. */
class StreamTest {
    private val daemon = TestDaemon()
    private val completeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: [DONE]\n\n"

    @AfterTest
    fun close() = daemon.close()

    private fun StubBackendServer.Exchange.resumeAfter(last: Int) {
        assertEquals(last.toString(), headers["last-event-id"])
        startEventStream()
        if (last < 2) event(2, "b")
        event(3, "[DONE]")
        close()
    }

    @Test
    fun `a broken stream is resumed after the last complete event`() {
        val server = StubBackendServer {
            if (method == "GET") {
                resumeAfter(1)
            } else {
                startEventStream()
                event(1, "a")
                write("id: 2\nda")
                reset()
            }
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            val response = daemon.chat()
            assertEquals(completeStream, response.body())
            val id = response.headers().firstValue("Arbutus-Request-Id").get()
            assertEquals("/v1/streams/$id", it.received.last().target)
        }
    }

    @Test
    fun `duplicate events are dropped and an event out of order leads to a resume`() {
        val server = StubBackendServer {
            if (method == "GET") {
                resumeAfter(2)
            } else {
                startEventStream()
                event(1, "a")
                event(1, "a")
                event(2, "b")
                event(4, "[DONE]")
                close()
            }
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            assertEquals(completeStream, daemon.chat().body())
        }
        assertEquals(1, daemon.daemon.metrics.responseDropCount(DropReason.DUPLICATE))
        assertEquals(1, daemon.daemon.metrics.responseDropCount(DropReason.OUT_OF_ORDER))
    }

    /** Guards against the bytes of a second response that a caller receives as a part of an event, or as an event. */
    @Test
    fun `a second response inside a stream is not a part of it`() {
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        val beginnings = listOf(
            "id: 1\ndata: a\n\n",
            "id: 1\ndata: a\n\nid: 2\nda",
            "id: 1\ndata: a\n\nid: 2\ndata: b\n",
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        )
        for (beginning in beginnings) {
            for (second in listOf(head + completeStream, "data: odd\n\n$completeStream")) {
                // Two events without an empty line between them can't be told from one event.
                if (second != head + completeStream && !beginning.endsWith("\n\n")) continue
                val server = StubBackendServer {
                    if (method == "GET") {
                        resumeAfter(checkNotNull(headers["last-event-id"]).toInt())
                    } else {
                        startEventStream()
                        write(beginning + second)
                        close()
                    }
                }
                server.use {
                    daemon.announce("e1", "draft", it.address)
                    assertEquals(completeStream, daemon.chat().body(), beginning + second)
                }
            }
        }
    }

    @Test
    fun `a stream that cannot be resumed ends with an error event and a truncated body`() {
        val server = StubBackendServer {
            if (method == "GET") {
                respond(404, "")
            } else {
                startEventStream()
                event(1, "a")
                close()
            }
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            assertFailsWith<IOException> { daemon.chat() }
            val text = rawChat()
            assertContains(text, "event: error")
            assertContains(text, """"type":"stream_broken"""")
            assertTrue("\r\n0\r\n" !in text, "the last chunk of the body must be missing")
        }
    }

    @Test
    fun `a caller that disconnects cancels the run on the engine`() {
        val isCancelled = CountDownLatch(1)
        val hasStarted = CountDownLatch(1)
        val server = StubBackendServer {
            if (method == "DELETE") {
                isCancelled.countDown()
                respond(204, "")
            } else {
                startEventStream()
                for (position in 1..100_000) {
                    event(position, "x".repeat(1_000))
                    hasStarted.countDown()
                    if (isCancelled.count == 0L) break
                }
            }
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            openChat().use { hasStarted.await(20, TimeUnit.SECONDS) }
            assertTrue(isCancelled.await(20, TimeUnit.SECONDS))
        }
    }

    @Test
    fun `a non-idempotent run continues after the caller disconnects and its response is stored`() {
        val mayRespond = CountDownLatch(1)
        val isReceived = CountDownLatch(1)
        val server = StubBackendServer {
            isReceived.countDown()
            mayRespond.await()
            respond(200, "ticket 5")
        }
        server.use {
            daemon.announce("b1", "board", it.address)
            val head = "POST /v1/services/board/t HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $TOKEN\r\n" +
                "Arbutus-Kind: post\r\nIdempotency-Key: k\r\nContent-Length: 6\r\n\r\nnotice"
            open(head).use { isReceived.await() }
            mayRespond.countDown()
            val resent = daemon.send(
                "POST",
                "/v1/services/board/t",
                "notice",
                "Arbutus-Kind" to "post",
                "Idempotency-Key" to "k",
            )
            assertEquals("ticket 5", resent.body())
            assertEquals(1, it.received.size)
        }
    }

    private fun rawChat(): String = openChat().use { it.getInputStream().readAllBytes().decodeToString() }

    private fun openChat(): Socket {
        val body = """{"model":"draft","messages":[]}"""
        return open(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer $TOKEN\r\n" +
                "Content-Length: ${body.length}\r\n\r\n$body",
        )
    }

    private fun open(request: String): Socket =
        Socket("127.0.0.1", daemon.daemon.callerPort).apply { getOutputStream().write(request.encodeToByteArray()) }
}
