package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BackendConnectionReuseTest {
    /** Guards against a response to HEAD whose body is waited for, and whose connection is then lost. */
    @Test
    fun `a response to HEAD that states a length has no body`() {
        val server = ScriptedServer { socket, request, _ ->
            val response = signedResponse(request, "body")
            socket.write(if (request.line.startsWith("HEAD")) response.removeSuffix("body") else response)
        }
        RelayFixture(server).use { relay ->
            assertTrue(relay.exchange("/safe/1", "HEAD").startsWith("HTTP/1.1 200"))
            assertTrue(relay.exchange("/safe/2").endsWith("\r\n\r\nbody"))
            assertEquals(1, server.sockets.size)
        }
    }

    /** Guards against a connection whose bytes behind a response were read and forgotten. */
    @Test
    fun `a connection with other bytes behind a doubtful end is not used again`() {
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "body H") + "x") }
        RelayFixture(server).use { relay ->
            for (path in listOf("/safe/1", "/safe/2")) assertTrue(relay.exchange(path).endsWith("\r\n\r\nbody H"))
            assertEquals(2, server.sockets.size)
        }
    }
}
