package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals

/** Backend servers that state in a response that they are leaving, or that they want no requests for a time. */
class ServerStatementsTest {
    private class Case(
        val name: String,
        val status: String,
        val headers: String,
        val isLeaving: Boolean,
        val isPaused: Boolean,
        val names: (RawRequest) -> String? = { it.header("Attempt") },
    )

    private fun respond(case: Case): ScriptedServer = ScriptedServer { socket, request, _ ->
        val id = case.names(request)?.let { "Attempt: $it\r\n" }.orEmpty()
        socket.write(
            "HTTP/1.1 ${case.status}\r\n${id}Signature: s\r\nContent-Type: text/event-stream\r\n${case.headers}" +
                "Content-Length: 12\r\n\r\nid: 1\ndata:\n",
        )
        socket.close()
    }

    /** Guards against requests to a server that leaves or asked for a pause, and against one that did not. */
    @Test
    fun `what a server wants is read from its own responses only`() {
        val refused = "Not-Executed: 1\r\n"
        val cases = listOf(
            Case("success", "200 OK", "Leaving: 1\r\n", isLeaving = true, isPaused = false),
            Case("error", "500 Error", "Leaving: 1\r\nRetry-After: 9\r\n", isLeaving = true, isPaused = false),
            Case("refusal", "503 Busy", "${refused}Leaving: 1\r\n", isLeaving = true, isPaused = false),
            Case("pause", "503 Busy", "${refused}Retry-After: 9\r\n", isLeaving = false, isPaused = true),
            Case("pause, may have run", "503 Busy", "Retry-After: 9\r\n", isLeaving = false, isPaused = true),
            Case("both", "503 Busy", "${refused}Leaving: 1\r\nRetry-After: 9\r\n", isLeaving = true, isPaused = true),
            Case("odd pause", "503 Busy", "${refused}Retry-After: -9\r\n", isLeaving = false, isPaused = false),
            Case("pause of 0", "503 Busy", "${refused}Retry-After: 0\r\n", isLeaving = false, isPaused = false),
            Case("too many requests", "429 Busy", "${refused}Retry-After: 9\r\n", isLeaving = false, isPaused = false),
            Case("another server", "421 No", "${refused}Leaving: 1\r\nRetry-After: 9\r\n", false, isPaused = false),
            Case("another request", "503 Busy", "${refused}Leaving: 1\r\nRetry-After: 9\r\n", false, false) { "x" },
        )
        for (path in listOf("/safe/x", "/once/x", "/stream/x", "/resumable/x")) {
            for (case in cases) {
                RelayFixture(respond(case), timeoutMs = 500).use { relay ->
                    relay.exchange(path)
                    assertEquals(case.isLeaving, "s0" in relay.leaving, "${case.name} of $path")
                    assertEquals(if (case.isPaused) 1 else 0, relay.pausedServers, "${case.name} of $path")
                }
            }
        }
    }

    /** Guards against a limit that is read from a response of another server or request, or ended by one. */
    @Test
    fun `a limit is read from a server's own responses, and ended by those to requests that it ran`() {
        val refused = "Not-Executed: 1\r\n"
        data class Limit(val name: String, val status: String, val headers: String, val expected: List<Long?>)
        val cases = listOf(
            Limit("named", "200 OK", "Limit: 1.5\r\n", listOf(1_500)),
            Limit("not named", "200 OK", "", listOf(null)),
            Limit("unreadable", "200 OK", "Limit: -1\r\n", emptyList()),
            Limit("named in an error", "500 Error", "Limit: 0\r\n", listOf(0)),
            Limit("named in a refusal", "503 Busy", "${refused}Limit: 2\r\n", listOf(2_000)),
            Limit("not named in a refusal", "503 Busy", refused, emptyList()),
            Limit("another server", "421 No", "${refused}Limit: 1\r\n", emptyList()),
            Limit("several", "200 OK", "Limit: 4\r\nLimit: 3\r\n", listOf(3_000)),
        )
        for (case in cases) {
            for (names in listOf<(RawRequest) -> String?>({ it.header("Attempt") }, { "x" })) {
                val isOwn = names(RawRequest("", listOf("Attempt: y"), "")) == "y"
                val server = respond(Case(case.name, case.status, case.headers, false, isPaused = false, names))
                RelayFixture(server, timeoutMs = 500).use { relay ->
                    val stated = CopyOnWriteArrayList<Long?>()
                    relay.onLimit = { _, limitPermille -> stated += limitPermille }
                    relay.exchange("/once/x")
                    assertEquals(
                        if (isOwn) case.expected else emptyList(),
                        stated.distinct(),
                        "${case.name}, own $isOwn",
                    )
                }
            }
        }
    }

    /** Guards against a caller that waits for a server which takes no request before the deadline. */
    @Test
    fun `a caller is told the end of the pause when all servers ask for one`() {
        val headers = "Not-Executed: 1\r\nRetry-After: 30\r\n"
        val case = Case("pause", "503 Busy", headers, isLeaving = false, isPaused = true)
        RelayFixture(respond(case), timeoutMs = 500).use { relay ->
            relay.exchange("/once/first")
            val second = relay.exchange("/once/second")
            val retryAfterS = second.lineSequence().first { it.startsWith("Retry-After", ignoreCase = true) }
                .substringAfter(':').trim().toDouble()
            assertEquals("HTTP/1.1 503 Service Unavailable", second.lineSequence().first().trim())
            assertEquals(true, retryAfterS in 25.0..30.5, second)
        }
    }
}
