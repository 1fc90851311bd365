package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ResubmittedRequestTest {
    private val servers = List(4) {
        ScriptedServer { socket, request, _ ->
            socket.write("HTTP/1.1 500 E\r\nAttempt: ${request.header("Attempt")}\r\nContent-Length: 0\r\n\r\n")
        }
    }

    /** Guards against a retry budget that grows with the time for which requests wait while their host starts. */
    @Test
    fun `a request that waits for backend servers to become known earns its share of retries once`() {
        RelayFixture(*servers.toTypedArray(), retryPermille = 100).use { relay ->
            relay.forgetServers()
            val waiting = List(WAITING) { relay.connect().apply { send("/safe/waiting-$it") } }
            waiting.forEach { caller -> caller.use { assertContains(it.readResponse(), "503") } }
            relay.startServers(incarnation = 1)
            repeat(FAILING) { assertContains(relay.exchange("/safe/failing-$it"), "500") }
            // The budget begins with two retries; the ten requests earn a tenth of one each.
            assertEquals(FAILING + 3, servers.sumOf { it.requests.size })
        }
    }

    private companion object {
        const val WAITING = 4
        const val FAILING = 6
    }
}
