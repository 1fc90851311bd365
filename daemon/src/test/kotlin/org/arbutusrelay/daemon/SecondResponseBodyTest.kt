package org.arbutusrelay.daemon

import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.backend.BackendRequest
import org.arbutusrelay.daemon.backend.ResponseHead
import org.arbutusrelay.daemon.backend.ResponseListener
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Backend servers that write a second response inside or behind a body that is no stream. */
class SecondResponseBodyTest {
    private val body = "a whole body of one response\n".repeat(20)

    private fun response(id: String?) =
        "HTTP/1.1 200 OK\r\nArbutus-Request-Id: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun BackendClient.run(address: String, id: String): Pair<AttemptEnd, String> {
        val received = StringBuilder()
        val listener = object : ResponseListener {
            override fun onHead(head: ResponseHead) = true

            override fun onData(data: ByteArray) {
                received.append(data.decodeToString())
            }
        }
        val request = BackendRequest(id, address, "GET", "/$id", emptyList(), ByteArray(0), 5_000, true, false)
        return exchange(request).run(listener) to received.toString()
    }

    /** Guards against a cut body that counts as complete because a second response fills it. */
    @Test
    fun `a body that is filled by a second response of its server is not complete`() {
        val headLength = response("1").indexOf(body)
        for (missing in listOf(5, 12, 20, headLength - 1, headLength, headLength + 1, 200)) {
            val server = StubBackendServer {
                val response = response(headers["arbutus-request-id"])
                write(response.dropLast(missing) + response)
            }
            BackendClient().use { client ->
                val (end, received) = client.run(server.address, "1")
                assertIs<AttemptEnd.Failed>(end, "$missing bytes: $received")
                assertEquals(body.dropLast(missing), received, "$missing bytes")
            }
            server.close()
        }
    }

    /** Guards against whole bodies that fail because they quote a response or end like one. */
    @Test
    fun `a body that quotes a response is delivered unchanged`() {
        val texts = listOf("ends with H", "ends with HTTP", "HTTP/1.1 200 OK\r\nX: y\r\n\r\nquoted", "HTTP/1.1 x")
        for (text in texts) {
            val server = StubBackendServer { respond(200, text) }
            BackendClient().use { client ->
                assertEquals(AttemptEnd.Complete(200) to text, client.run(server.address, "1"), text)
            }
            server.close()
        }
    }
}
