package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Sound backend servers whose responses look like a part of another one. */
class DoubtfulEndCostTest {
    private fun serverOf(body: String, fields: String = "") =
        ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, body, fields)) }

    private fun statusOf(response: String) = response.split(' ').getOrNull(1)

    /** Guards against a whole response that fails because the deadline comes before the bytes that never follow it. */
    @Test
    fun `a whole response that waits for the bytes behind it is delivered at its deadline`() {
        val cases = listOf("H" to 100, "H" to 140, "HTTP/" to 100, "HTTP/" to 500, "HTTP/1.1 200 OK" to 500)
        val statuses = cases.map { (end, waitMs) ->
            RelayFixture(serverOf("body $end")).use {
                statusOf(it.exchange("/once/x", "POST", headers = "Wait-Ms: $waitMs\r\n", body = "b"))
            }
        }
        assertEquals(cases.map { "200" }, statuses)
    }

    /** Guards against requests that are refused because the relay takes its own wait for the time of the server. */
    @Test
    @Tag("known-red")
    fun `the wait for the bytes behind a body is no time of the server`() {
        val statuses = listOf("x", "H", "HTTP/").map { end ->
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, if ("/1 " in request.line) "body $end" else "body"))
            }
            RelayFixture(server).use {
                it.exchange("/safe/1", "POST", body = "b")
                statusOf(it.exchange("/safe/2", "POST", headers = "Wait-Ms: 250\r\n", body = "b"))
            }
        }
        assertEquals(listOf("200", "200", "200"), statuses)
    }

    /**
     * Guards against joined heads that are taken for one.
     *
     * A field that quotes a status line can't be told from a field that was cut and goes on with the next head.
     */
    @Test
    fun `a response with a status line in a field fails visibly`() {
        for (value in listOf("HTTP/1.1 200 OK", "was HTTP/1.0 404 Not Found")) {
            val response = RelayFixture(serverOf("body", "X-Upstream: $value\r\n")).use {
                it.exchange("/once/x", "POST", body = "b")
            }
            assertEquals("502", statusOf(response), value)
        }
    }

    /** Guards against a filled body that counts as whole because a reset has dropped the bytes behind it. */
    @Test
    fun `a response with a doubtful end whose connection is reset fails visibly`() {
        val ends = listOf("x" to "200", "H" to "502", "HTTP/" to "502")
        val statuses = ends.map { (end, _) ->
            val server = ScriptedServer { socket, request, _ ->
                socket.write(signedResponse(request, "body $end"))
                Thread.sleep(RESET_AFTER_MS)
                socket.reset()
            }
            RelayFixture(server).use { statusOf(it.exchange("/once/x", "POST", body = "b")) }
        }
        assertEquals(ends.map { it.second }, statuses)
    }

    /** Guards against a forwarded response that each of two hosts holds back. */
    @Test
    fun `a forwarded response waits once for the bytes behind it`() {
        for ((end, limitMs) in listOf("H" to 500L, "HTTP/" to 1_500L)) {
            val second = RelayFixture(serverOf("body $end"), isForwarded = true)
            val startNs = System.nanoTime()
            var durationMs = 0L
            second.use { host ->
                RelayFixture(otherRegionPort = host.port, timeoutMs = 5_000).use {
                    assertEquals("200", statusOf(it.exchange("/once/x", "POST", body = "b")))
                    durationMs = (System.nanoTime() - startNs) / NS_PER_MS
                }
            }
            assertTrue(durationMs < limitMs, "$end: $durationMs ms")
        }
    }

    private companion object {
        const val RESET_AFTER_MS = 50L
        const val NS_PER_MS = 1_000_000
    }
}
