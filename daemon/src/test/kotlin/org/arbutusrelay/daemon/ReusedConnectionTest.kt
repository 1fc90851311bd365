package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.backend.BackendRequest
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ReusedConnectionTest {
    private enum class Identifier { NONE, OWN, FIRST_ONLY }

    /** Guards against the late copy of a response that is delivered as the response to the next request. */
    @Test
    fun `a late copy on a connection that is in use again is never the next response`() {
        data class Case(val identifier: Identifier, val isSecondComplete: Boolean)
        val cases = listOf(
            Case(Identifier.NONE, isSecondComplete = true),
            // The copy names the first request, so that the second one fails and is tried again elsewhere.
            Case(Identifier.OWN, isSecondComplete = false),
            Case(Identifier.FIRST_ONLY, isSecondComplete = false),
        )
        for (case in cases) {
            val server = StubBackendServer {
                val isFirst = target == "/1"
                val own = "Arbutus-Request-Id: ${headers["arbutus-request-id"]}"
                when {
                    isFirst && case.identifier == Identifier.NONE -> respond(200, "first")
                    isFirst -> respond(200, "first", own)
                    case.identifier == Identifier.OWN -> respond(200, "first", "Arbutus-Request-Id: 1")
                    case.identifier == Identifier.FIRST_ONLY -> respond(200, "first")
                    else -> respond(200, "second")
                }
            }
            BackendClient().use { client ->
                assertEquals(AttemptEnd.Complete(200) to "first", client.run(server.address, "1"), "$case")
                val (end, body) = client.run(server.address, "2")
                if (case.isSecondComplete) {
                    assertEquals(AttemptEnd.Complete(200) to "second", end to body, "$case")
                } else {
                    assertIs<AttemptEnd.Failed>(end, "$case: $body")
                    assertEquals("", body, "$case")
                }
            }
            server.close()
        }
    }

    /** Guards against a failure that counts as a success because two heads on a connection are read as one. */
    @Test
    fun `a failure behind the beginning of another response is not complete`() {
        for (part in listOf("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nX: y", "x")) {
            val server = StubBackendServer {
                val own = "Arbutus-Request-Id: ${headers["arbutus-request-id"]}"
                if (target == "/1") {
                    write("HTTP/1.1 200 OK\r\n$own\r\nContent-Length: 5\r\n\r\nfirst$part")
                } else {
                    respond(500, "failed", own)
                }
            }
            BackendClient().use { client ->
                assertEquals(AttemptEnd.Complete(200) to "first", client.run(server.address, "1"), part)
                assertIs<AttemptEnd.Failed>(client.run(server.address, "2").first, part)
            }
            server.close()
        }
    }

    /** Guards against a server without identifiers whose requests share connections. */
    @Test
    fun `connections are kept only for servers that name the request of their responses`() {
        for (isNamed in listOf(true, false)) {
            val ports = HashSet<Int>()
            val server = StubBackendServer {
                synchronized(ports) { ports += peerPort }
                if (isNamed) {
                    respond(200, "x", "Arbutus-Request-Id: ${headers["arbutus-request-id"]}")
                } else {
                    respond(200, "x")
                }
            }
            BackendClient().use { client -> repeat(5) { assertEquals("x", client.run(server.address, "$it").second) } }
            assertEquals(if (isNamed) 1 else 5, ports.size, "isNamed=$isNamed")
            server.close()
        }
    }

    private fun BackendClient.run(address: String, id: String): Pair<AttemptEnd, String> {
        val body = StringBuilder()
        val listener = object : ResponseListener {
            override fun onHead(head: ResponseHead) = true

            override fun onData(data: ByteArray) {
                body.append(data.decodeToString())
            }
        }
        val request = BackendRequest(id, address, "GET", "/$id", emptyList(), ByteArray(0), 5_000, true, false)
        return exchange(request).run(listener) to body.toString()
    }
}
