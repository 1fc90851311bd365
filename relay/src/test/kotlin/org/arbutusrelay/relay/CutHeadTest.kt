package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class CutHeadTest {
    /** Guards against a response that ends inside its head and reaches the caller as a whole one with an empty body. */
    @Test
    fun `a response whose head was cut is not complete`() {
        val cases = listOf(
            Case("/once/x", "", isReset = false),
            Case("/once/x", "Content-Length: 4\r\n", isReset = false),
            Case("/stream/x", "", isReset = false),
            Case("/stream/x", "Transfer-Encoding: chunked\r\n", isReset = true),
            Case("/stream/x", "", isReset = false, isThroughHost = true),
        )
        for (case in cases) {
            val length = head("POST${case.path}", case.framing).length
            for (cutAt in 0 until length step CUT_STEP) checkCut(case, cutAt)
            checkCut(case, length - 1)
        }
    }

    private fun checkCut(case: Case, cutAt: Int) {
        val server = ScriptedServer { socket, request, _ ->
            socket.write(head(request.header("Attempt").orEmpty(), case.framing).take(cutAt))
            if (case.isReset) socket.reset() else socket.close()
        }
        RelayFixture(server, isForwarded = case.isThroughHost).use { second ->
            val first = if (case.isThroughHost) RelayFixture(otherRegionPort = second.port) else second
            val response = first.exchange(case.path, "POST", body = "b")
            if (first !== second) first.close()
            assertFalse(response.startsWith("HTTP/1.1 200"), "$case cut at $cutAt: $response")
            assertEquals(1, server.requests.size, "$case cut at $cutAt")
        }
    }

    private fun head(attemptId: String, framing: String) = "HTTP/1.1 200 OK\r\nSignature: s\r\n" +
        "Attempt: $attemptId\r\n${framing}Content-Type: text/event-stream\r\n\r\n"

    private data class Case(
        val path: String,
        val framing: String,
        val isReset: Boolean,
        val isThroughHost: Boolean = false,
    )

    private companion object {
        /** Small enough to cut each line of the head. */
        const val CUT_STEP = 5
    }
}
