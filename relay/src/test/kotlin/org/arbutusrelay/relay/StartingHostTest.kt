package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StartingHostTest {
    /**
     * Guards against a host that starts and refuses requests just before its first document arrives, and against one
     * that holds a request for longer than half of its caller's wait, or one that another host could send elsewhere.
     */
    @Test
    fun `a request waits for the first document for half of its time`() {
        data class Case(
            val waitMs: Long,
            val documentAfterMs: Long,
            val status: String,
            val isForwarded: Boolean = false,
        )
        val cases = listOf(
            Case(waitMs = 8_000, documentAfterMs = 1_600, "200"),
            Case(waitMs = 8_000, documentAfterMs = 0, "200"),
            Case(waitMs = 2_000, documentAfterMs = 1_600, "503"),
            Case(waitMs = 8_000, documentAfterMs = 1_600, "503", isForwarded = true),
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
            val fixture =
                RelayFixture(server, hasRoutes = false, timeoutMs = 8_000, isForwarded = case.isForwarded)
            fixture.use { relay ->
                relay.connect().use { caller ->
                    caller.send("/safe/x", headers = "Wait-Ms: ${case.waitMs}\r\n")
                    Thread.sleep(case.documentAfterMs)
                    relay.applyRoutes()
                    val response = caller.readResponse()
                    assertTrue(response.startsWith("HTTP/1.1 ${case.status}"), "$case: $response")
                    assertEquals(if (case.status == "200") 1 else 0, server.requests.size, "$case")
                }
            }
        }
    }
}
