package org.arbutusrelay.daemon

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that do not reach a backend server or whose responses arrive incomplete. */
class ServeRequestsTest {
    private val daemon = TestDaemon()

    @AfterTest
    fun close() = daemon.close()

    @Test
    fun `a plain service receives method, path and query and its response is returned`() {
        StubBackendServer { respond(201, "posted", "Content-Type: text/x-notice") }.use { server ->
            daemon.announce("b1", "board", server.address)
            val response = daemon.query()
            assertEquals(201, response.statusCode())
            assertEquals("posted", response.body())
            assertEquals("ran", response.headers().firstValue("Arbutus-Outcome").get())
            assertEquals("hue", response.headers().firstValue("Arbutus-Region").get())
            val sent = server.received.single()
            assertEquals("GET /notices?from=1", "${sent.method} ${sent.target}")
            assertEquals(response.headers().firstValue("Arbutus-Request-Id").get(), sent.headers["arbutus-request-id"])
            assertTrue("authorization" !in sent.headers, "the caller's token must not reach the backend server")
        }
    }

    @Test
    fun `a stream is relayed with its end event and the priority reaches the engine`() {
        StubBackendServer {
            startEventStream()
            event(1, "a")
            event(2, "[DONE]")
            close()
        }.use { server ->
            daemon.announce("e1", "draft", server.address)
            assertEquals("id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n", daemon.chat(""","stream":true""").body())
            assertTrue(""""priority":1""" in server.received.single().body)
        }
    }

    @Test
    fun `a resend with the same key gets the stored response and is not run again`() {
        StubBackendServer { respond(200, "ticket 9", "Content-Type: text/plain") }.use { server ->
            daemon.announce("b1", "board", server.address)
            assertEquals(listOf("ticket 9", "ticket 9"), List(2) { daemon.post("key-1").body() })
            assertEquals(1, server.received.size)
            assertEquals(409, daemon.post("key-1", "another body").statusCode())
        }
    }
}
