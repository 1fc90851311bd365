package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.backend.BackendRequest
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

/**
 * Guards against a request that is reported as not run although it may have run, and against a non-idempotent request
 * that is sent again after it may have reached a backend server.
 */
class NotRunHonestyTest {
    private val daemon = TestDaemon(waitMs = 3_000)

    @AfterTest
    fun close() = daemon.close()

    private class Case(
        val name: String,
        val type: String,
        val outcome: String,
        val status: Int,
        val handler: StubBackendServer.Exchange.() -> Unit,
    )

    private val cases = listOf(
        Case("503 with not_run", "backend_refused", "not_run", 503) { respond(503, "", "Arbutus-Outcome: not_run") },
        Case("503 without a header", "backend_failed", "unknown", 502) { respond(503, "") },
        Case("503 with Retry-After 0", "backend_failed", "unknown", 502) { respond(503, "", "Retry-After: 0") },
        Case("408", "", "ran", 408) { respond(408, "") },
        Case("a redirect", "", "ran", 307) { respond(307, "", "Location: /elsewhere") },
        Case("a reset after the body", "backend_failed", "unknown", 502) { reset() },
        Case("a close without a response", "backend_failed", "unknown", 502) { close() },
        Case("a truncated response", "stream_broken", "unknown", 502) {
            write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
            close()
        },
        Case("a response without a length or an end chunk", "backend_failed", "unknown", 502) {
            write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
            close()
        },
        Case("the response to another request", "backend_failed", "unknown", 502) {
            respond(200, "x", "Arbutus-Request-Id: other")
        },
    )

    @Test
    fun `a non-idempotent request is sent once and is not reported as not_run when it may have run`() {
        for ((index, case) in cases.withIndex()) {
            StubBackendServer(case.handler).use { server ->
                daemon.announce("b1", "board", server.address)
                val response = daemon.post("key-$index", case.name)
                assertEquals(case.outcome, response.headers().firstValue("Arbutus-Outcome").get(), case.name)
                assertEquals(case.status, response.statusCode(), case.name)
                if (case.type.isNotEmpty()) {
                    assertContains(
                        response.body(),
                        """"type":"${case.type}"""",
                        message = case.name,
                    )
                }
                val sends = server.received.size
                if (case.outcome != "not_run") {
                    assertEquals(1, sends, case.name)
                    val resent = daemon.post("key-$index", case.name).headers().firstValue("Arbutus-Outcome").get()
                    assertEquals(case.outcome, resent, "${case.name}, resent")
                    assertEquals(1, server.received.size, "${case.name}, resent")
                }
            }
        }
    }

    @Test
    fun `a refused connection is not_run and the key may be granted again`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        daemon.announce("b1", "board", "http://127.0.0.1:$port")
        val refused = daemon.post()
        assertContains(refused.body(), """"type":"backend_refused"""")
        assertEquals("not_run", refused.headers().firstValue("Arbutus-Outcome").get())
        StubBackendServer { respond(200, "run") }.use { server ->
            daemon.announce("b1", "board", server.address)
            assertEquals("run", daemon.post().body())
        }
    }

    @Test
    fun `a reset before the body is read leaves the outcome unknown and no second connection receives data`() {
        val receivedCount = AtomicInteger()
        withResettingServer({ if (it.getInputStream().read() >= 0) receivedCount.incrementAndGet() }) { address, _ ->
            daemon.announce("b1", "board", address)
            val response = daemon.post()
            assertEquals("unknown", response.headers().firstValue("Arbutus-Outcome").get())
            assertEquals(1, receivedCount.get())
        }
    }

    /** A reset may arrive before the first byte is written; the call must fail without a second connection. */
    @Test
    fun `a call that is reset immediately is not retried by the HTTP client`() = withResettingServer({
    }) { address, accepts ->
        val request = BackendRequest("r", address, "POST", "/x", emptyList(), ByteArray(9), 5_000, false, false)
        BackendClient().use { client ->
            repeat(CALLS) {
                val end = client.exchange(request).run(object : ResponseListener {
                    override fun onHead(head: ResponseHead) = true

                    override fun onData(data: ByteArray) = Unit
                })
                assertIs<AttemptEnd.Failed>(end)
            }
        }
        // Connections are accepted in order, so this one follows all connections that the client opened.
        Socket("127.0.0.1", address.substringAfterLast(':').toInt()).use { it.getInputStream().runCatching { read() } }
        assertEquals(CALLS + 1, accepts.get())
    }

    private fun withResettingServer(onAccept: (Socket) -> Unit, action: (String, AtomicInteger) -> Unit) {
        val accepts = AtomicInteger()
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { socket ->
            thread(isDaemon = true) {
                while (!socket.isClosed) {
                    runCatching { socket.accept() }.onSuccess {
                        accepts.incrementAndGet()
                        onAccept(it)
                        it.setSoLinger(true, 0)
                        it.close()
                    }
                }
            }
            action("http://127.0.0.1:${socket.localPort}", accepts)
        }
    }

    @Test
    fun `a wait that expires during the run is reported as unknown`() {
        val mayEnd = java.util.concurrent.CountDownLatch(1)
        StubBackendServer { mayEnd.await() }.use { server ->
            daemon.announce("b1", "board", server.address)
            val response = daemon.post()
            mayEnd.countDown()
            assertEquals(504, response.statusCode())
            assertEquals("unknown", response.headers().firstValue("Arbutus-Outcome").get())
        }
    }

    @Test
    fun `a suspect is refused after two crashes but the outcome of a key that may have run stays unknown`() {
        StubBackendServer { reset() }.use { server ->
            daemon.announce("b1", "board", server.address)
            val outcomes = listOf("k1", "k2", "k3", "k1").map { daemon.post(it) }
            assertEquals(listOf(502, 502, 422, 409), outcomes.map { it.statusCode() })
            assertContains(outcomes[2].body(), "request_suspected")
            assertContains(outcomes[3].body(), "outcome_unknown")
            assertEquals(2, server.received.size)
        }
    }

    @Test
    fun `an idempotent request is retried on another backend server`() {
        StubBackendServer { reset() }.use { crashing ->
            StubBackendServer { respond(200, "found") }.use { healthy ->
                daemon.announce("b1", "board", crashing.address)
                daemon.announce("b2", "board", healthy.address)
                assertEquals(List(4) { "found" }, List(4) { daemon.query().body() })
            }
        }
    }

    private companion object {
        private const val CALLS = 300
    }
}
