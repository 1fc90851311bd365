package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Backend servers that write a part of a response between two responses on a connection. */
class JoinedHeadsTest {
    private enum class Timing {
        /** In the same segment as the end of the first response. */
        WITH_THE_FIRST,

        /** While the connection is idle. */
        BETWEEN,

        /** In the same segment as the second response. */
        WITH_THE_SECOND,
    }

    private data class Case(
        val path: String,
        val part: String,
        val timing: Timing,
        /** True if the request comes through the host of another region. */
        val isForwarded: Boolean = false,
    )

    private val heads = listOf(
        "HTTP/1.1 200 OK\r\nAttempt: POST/once/1\r\nSignature: s\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nSignature: first\r\nAttempt: POST/once/1\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSignature: first\r\nAttempt: POST/once/1\r\n\r\n",
    )

    private fun cases() = listOf("/once/2", "/safe/2").flatMap { path ->
        val parts = listOf("x", "\r\n", "HTTP/1.1 200 O", "HTTP/1.1 503 ") +
            heads.flatMap { head -> (1..head.length step PART_STEP).map(head::take) }
        parts.distinct().flatMap { part -> Timing.entries.map { Case(path, part, it) } } +
            listOf("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nSignature: ").flatMap { part ->
                Timing.entries.map { Case(path, part, it, isForwarded = true) }
            }
    }

    private fun answer(socket: Socket, request: RawRequest, case: Case) {
        if ("/once/1" in request.line) {
            val isPartAdded = case.timing == Timing.WITH_THE_FIRST
            socket.write(signedResponse(request, "first") + if (isPartAdded) case.part else "")
            if (case.timing == Timing.BETWEEN) {
                Thread.sleep(PAUSE_MS)
                socket.write(case.part)
            }
        } else {
            val part = if (case.timing == Timing.WITH_THE_SECOND) case.part else ""
            val failure = signedResponse(request, "failed").replace("200 OK", "500 Internal Server Error")
            socket.write(part + failure)
        }
    }

    /** Waits until the part has arrived, which closes the connection. */
    private fun awaitClose(server: ScriptedServer) {
        repeat(MAX_POLLS) { if (server.closed.isEmpty()) Thread.sleep(PAUSE_MS) }
    }

    /** Returns what is wrong with the response to [case], or null; each run of its request fails. */
    private fun fault(case: Case): String? {
        val server = ScriptedServer { socket, request, _ -> answer(socket, request, case) }
        return RelayFixture(server, timeoutMs = TIMEOUT_MS, isForwarded = case.isForwarded).use { relay ->
            if (!case.isForwarded) return fault(case, relay, server)
            RelayFixture(otherRegionPort = relay.port).use { fault(case, it, server) }
        }
    }

    private fun fault(case: Case, relay: RelayFixture, server: ScriptedServer): String? {
        val first = relay.exchange("/once/1", "POST", body = "b")
        if (!first.endsWith("\r\n\r\nfirst")) return "$case: $first"
        if (case.timing == Timing.BETWEEN) awaitClose(server)
        val second = relay.exchange(case.path, "POST", body = "b")
        val status = second.split(' ').getOrNull(1)
        val isOwn = status == "500" && second.endsWith("\r\n\r\nfailed")
        // A part that is seen before the next request is sent must not harm that request.
        val isHarmless = case.timing != Timing.WITH_THE_SECOND
        val isVisible = status == "502" || status == "504"
        return if (isOwn || (isVisible && !isHarmless)) null else "$case: $second"
    }

    /**
     * Guards against a success that a caller gets where its server failed.
     *
     * The beginning of a copy of an earlier response, without its end, stands before the response to the next request,
     * whose head then continues that of the copy.
     */
    @Test
    fun `a failure behind a part of a response does not become a success`() {
        val cases = cases()
        val faults = cases.mapNotNull(::fault)
        assertTrue(faults.isEmpty(), "${faults.size} of ${cases.size} cases:\n" + faults.joinToString("\n"))
    }

    private companion object {
        const val PAUSE_MS = 20L
        const val MAX_POLLS = 100
        const val PART_STEP = 9
        const val TIMEOUT_MS = 500L
    }
}
