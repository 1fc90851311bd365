package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ResubmittedRequestTest {
    private val servers = List(8) {
        ScriptedServer { socket, _, _ ->
            socket.write("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        }
    }

    /** Guards against a retry budget that grows with the time for which requests wait while their host starts. */
    @Test
    fun `a request that waits for backend servers to become known earns its retry once`() {
        RelayFixture(*servers.toTypedArray()).use { relay ->
            relay.forgetServers()
            assertContains(relay.exchange("/safe/waiting"), "503")
            relay.startServers(incarnation = 1)
            repeat(REJECTED) { assertContains(relay.exchange("/safe/rejected-$it"), "503") }
            // The budget begins with two retries, each request earns one, and each rejected one could use two.
            assertEquals(REJECTED + 2 + 1 + REJECTED, servers.sumOf { it.requests.size })
        }
    }

    private companion object {
        const val REJECTED = 8
    }
}
