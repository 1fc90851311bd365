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

class ForwardingTest {
    /** Guards against a library that normalizes or decodes paths, or changes methods and bodies. */
    @Test
    fun `method, path, query and body are forwarded unchanged`() {
        data class Case(val method: String, val path: String, val body: String)
        val cases = listOf(
            Case("GET", "/safe/a/../b", ""),
            Case("GET", "/safe/a%2Fb//c?x=%20&y=a+b", ""),
            Case("POST", "/once/%C3%A9?", "{\"a\": 1}\r\n\r\nGET / HTTP/1.1"),
            Case("PATCH", "/safe/;v=1", "x"),
            Case("DELETE", "/safe/", ""),
        )
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(server).use { relay ->
            for (case in cases) {
                assertContains(relay.exchange(case.path, case.method, body = case.body), "200 OK", message = "$case")
                val received = server.requests.last()
                assertEquals("${case.method} ${case.path} HTTP/1.1", received.line)
                assertEquals(case.body, received.body)
                assertEquals("a.example", received.header("Host"))
            }
        }
    }

    /** Guards against a client library that follows redirects, retries or decodes responses on its own. */
    @Test
    fun `the backend server's own response reaches the caller unchanged`() {
        data class Case(val status: String, val extraHeaders: String, val body: String)
        val cases = listOf(
            Case("302 Found", "Location: /elsewhere\r\n", ""),
            Case("401 Unauthorized", "WWW-Authenticate: Basic\r\n", "no"),
            Case("404 Not Found", "", "none"),
            Case("500 Internal Server Error", "Retry-After: 0\r\n", "broken"),
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, case.body, case.extraHeaders).replace("200 OK", case.status))
            }
            RelayFixture(server).use { relay ->
                val response = relay.exchange("/once/x", "POST", body = "b")
                assertTrue(response.startsWith("HTTP/1.1 ${case.status}"), response)
                assertTrue(response.endsWith("\r\n\r\n${case.body}"), response)
                assertEquals(1, server.requests.size, "$case")
            }
        }
    }

    /** Guards against running an at-most-once request twice, and against an error that wrongly says it did not run. */
    @Test
    fun `a request is retried only where that is allowed`() {
        data class Case(val path: String, val first: (Socket, RawRequest) -> Unit, val status: String, val runs: Int)
        val rejectRequest = { socket: Socket, _: RawRequest ->
            socket.write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
        val resetConnection = { socket: Socket, _: RawRequest -> socket.reset() }
        val unsigned = { socket: Socket, request: RawRequest ->
            socket.write(signedResponse(request, "x").replace("Signature: s\r\n", ""))
        }
        val cases = listOf(
            Case("/safe/x", rejectRequest, "200", 2),
            Case("/once/x", rejectRequest, "200", 2),
            Case("/safe/x", resetConnection, "200", 2),
            Case("/once/x", resetConnection, "502", 1),
            Case("/safe/x", unsigned, "200", 2),
            Case("/once/x", unsigned, "502", 1),
        )
        for (case in cases) {
            var count = 0
            val script = { socket: Socket, request: RawRequest, _: Int ->
                if (count++ == 0) case.first(socket, request) else socket.write(signedResponse(request, "ok"))
            }
            val servers = listOf(ScriptedServer(script), ScriptedServer(script))
            RelayFixture(*servers.toTypedArray()).use { relay ->
                val response = relay.exchange(case.path, "POST", body = "b")
                assertTrue(response.startsWith("HTTP/1.1 ${case.status}"), "$case $response")
                assertEquals(case.runs, servers.sumOf { it.requests.size }, "$case")
            }
        }
    }

    /** Guards against rejecting a request because one backend server refuses connections. */
    @Test
    fun `requests succeed when one server refuses connections`() {
        val stopped = ScriptedServer { _, _, _ -> }.apply { close() }
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(stopped, server).use { relay ->
            repeat(4) { assertContains(relay.exchange("/once/x", "POST", body = "b"), "200 OK") }
        }
    }

    /** Guards against an exception on the event loop that leaves the request of a caller without a response. */
    @Test
    fun `requests succeed when one server cannot be connected to or named in a header`() {
        val cases = listOf(
            "odd" to "127.0.0.1:99999",
            "odd" to "127.0.0.1:-1",
            "odd" to "none",
            "a\r\nb: c" to "1.1.1.1:1",
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
            RelayFixture(server, oddServers = mapOf(case)).use { relay ->
                repeat(4) { assertContains(relay.exchange("/once/x", "POST", body = "b"), "200 OK", message = "$case") }
            }
        }
    }

    /** Guards against queued requests that wait in vain because the placement of another one failed. */
    @Test
    fun `queued requests are placed after the placement of one has failed`() {
        val busy = ScriptedServer { _, _, _ -> }
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(busy, server, capacity = 1).use { relay ->
            val callers = List(3) { relay.connect() }
            relay.useServers(mapOf("s0" to busy.address))
            callers[0].send("/once/0", "POST", body = "b")
            awaitTrue { busy.requests.size == 1 }
            callers[1].send("/once/1", "POST", body = "b")
            awaitTrue { relay.queuedRequests == 1 }
            relay.useServers(mapOf("s0" to busy.address, TestDialect.FAILING_SERVER to server.address))
            awaitTrue { relay.queuedRequests == 0 }
            callers[2].send("/once/2", "POST", body = "b")
            awaitTrue { relay.queuedRequests == 1 }
            relay.useServers(mapOf("s0" to busy.address, "s1" to server.address))
            assertContains(callers[2].readResponse(), "200 OK")
            callers.forEach { it.close() }
        }
    }

    /** Guards against a forwarded request that both hosts run again, on more servers than its route allows. */
    @Test
    fun `only the host that received a request from its caller runs it again`() {
        for ((isForwarded, runs) in listOf(true to 1, false to 2)) {
            val servers = List(2) {
                ScriptedServer { socket, request, _ ->
                    socket.write(signedResponse(request, "failed").replace("200 OK", "500 Failed"))
                }
            }
            RelayFixture(*servers.toTypedArray(), isForwarded = isForwarded).use { relay ->
                assertContains(relay.exchange("/safe/x"), "500")
                assertEquals(runs, servers.sumOf { it.requests.size }, "isForwarded=$isForwarded")
            }
        }
    }

    /** Guards against delivering a late or surplus response to the next request. */
    @Test
    fun `a response to another request is never used`() {
        val server = ScriptedServer { socket, request, _ ->
            val mismatched = signedResponse(RawRequest("", listOf("Attempt: other"), ""), "foreign")
            if ("/safe/1" in
                request.line
            ) {
                socket.write(signedResponse(request, "first") + mismatched)
            } else {
                socket.write(signedResponse(request, "second"))
            }
        }
        RelayFixture(server).use { relay ->
            assertContains(relay.exchange("/safe/1"), "first")
            assertContains(relay.exchange("/safe/2"), "second")
        }
        val late = ScriptedServer { socket, request, _ ->
            socket.write(
                signedResponse(RawRequest("", listOf("Attempt: other"), ""), "foreign") +
                    signedResponse(request, "own"),
            )
        }
        RelayFixture(late).use { relay ->
            val response = relay.exchange("/once/1", "POST", body = "b")
            assertContains(response, "own")
            assertFalse("foreign" in response)
        }
    }

    /** Guards against opening a connection for each request, and against reusing one after `Connection: close`. */
    @Test
    fun `a backend connection is reused only when the server keeps it open`() {
        data class Case(val extraHeaders: String, val connections: Int)
        for (case in listOf(Case("", 1), Case("Connection: close\r\n", 3))) {
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, "ok", case.extraHeaders))
            }
            RelayFixture(server).use { relay ->
                relay.connect().use { caller ->
                    repeat(3) {
                        caller.send("/safe/$it")
                        assertContains(caller.readResponse(), "ok")
                    }
                }
                assertEquals(case.connections, server.sockets.size, "$case")
            }
        }
    }

    /** Guards against request smuggling through ambiguous lengths or hosts. */
    @Test
    fun `a request with conflicting lengths or hosts is rejected`() {
        val cases = listOf(
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            "Host: b.example\r\n",
            "Bad Header: x\r\n",
        )
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(server).use { relay ->
            for (case in cases) {
                val response = relay.exchange("/safe/x", "POST", case)
                assertTrue(response.startsWith("HTTP/1.1 400"), "$case: $response")
            }
            assertEquals(0, server.requests.size)
            assertTrue(relay.exchange("/safe/x", "POST", body = "b".repeat(2_000)).startsWith("HTTP/1.1 413"))
            assertTrue(relay.exchange("/none/x").startsWith("HTTP/1.1 404"))
        }
    }

    /** Guards against pipelined requests that receive no response or responses in the wrong order. */
    @Test
    fun `pipelined requests are answered in order`() {
        val server = ScriptedServer { socket, request, _ ->
            socket.write(signedResponse(request, request.line.substringAfterLast('/')))
        }
        RelayFixture(server).use { relay ->
            relay.connect().use { caller ->
                caller.send("/safe/1")
                caller.send("/safe/2", headers = "Connection: close\r\n")
                val all = String(caller.getInputStream().readAllBytes())
                assertEquals(2, Regex("200 OK").findAll(all).count(), all)
            }
        }
    }

    /** Guards against backend servers that keep working for callers that have disconnected. */
    @Test
    fun `a disconnecting caller cancels requests that may be cancelled`() {
        data class Case(val path: String, val isClosed: Boolean)
        for (case in listOf(Case("/safe/x", true), Case("/stream/x", true), Case("/once/x", false))) {
            val server = ScriptedServer { _, _, _ -> }
            RelayFixture(server).use { relay ->
                relay.connect().use {
                    it.send(case.path, "POST", body = "b")
                    awaitTrue { server.requests.size == 1 }
                }
                if (case.isClosed) awaitTrue { server.closed.size == 1 } else assertEquals(0, server.closed.size)
            }
        }
    }
}

/** Waits until [condition] holds; fails after ten seconds. */
internal fun awaitTrue(condition: () -> Boolean) {
    repeat(1_000) {
        if (condition()) return
        Thread.sleep(10)
    }
    error("the condition did not hold within ten seconds")
}
