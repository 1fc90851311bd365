package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.write
import kotlin.test.Test
import kotlin.test.assertTrue

/** Backend servers whose first answer is a failure, or ends at an unexpected place, and that answer once more. */
class FailureThenSuccessTest {
    private class First(
        val name: String,
        val status: String,
        /** Fields and body of the response. */
        val rest: String,
        val body: String = "failed",
        /** True if the response is not whole, so that a caller must not get it. */
        val isBroken: Boolean = false,
        val interim: String = "",
        val method: String = "POST",
    )

    private class Case(val path: String, val first: First, val second: Second, val isLate: Boolean) {
        override fun toString() = "$path ${first.name}, then ${second.name}${if (isLate) ", late" else ""}"
    }

    private class Second(val name: String, val id: (String) -> String)

    private val firsts = listOf(
        First("500", "500 Failed", "Content-Length: 6\r\n\r\nfailed"),
        First("503", "503 Full", "Content-Length: 6\r\n\r\nfailed"),
        First("504", "504 Late", "Content-Length: 6\r\n\r\nfailed"),
        First("404", "404 None", "Content-Length: 6\r\n\r\nfailed"),
        First("500 in chunks", "500 Failed", "Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n"),
        First("500 cut", "500 Failed", "Content-Length: 20\r\n\r\nfailed", isBroken = true),
        First("500 cut by much", "500 Failed", "Content-Length: 90\r\n\r\nfailed", isBroken = true),
        First("500 cut in a chunk", "500 Failed", "Transfer-Encoding: chunked\r\n\r\n20\r\nfailed", isBroken = true),
        First("500 with a shorter length", "500 Failed", "Content-Length: 3\r\n\r\nfailed", body = "fai"),
        First(
            "500 after 100",
            "500 Failed",
            "Content-Length: 6\r\n\r\nfailed",
            interim = "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        First(
            "500 after 103",
            "500 Failed",
            "Content-Length: 6\r\n\r\nfailed",
            interim = "HTTP/1.1 103 Early\r\nContent-Length: 9\r\n\r\n",
        ),
        First("500 with two lengths", "500 Failed", "Content-Length: 6\r\nContent-Length: 6\r\n\r\nfailed"),
        First(
            "500 with two different lengths",
            "500 Failed",
            "Content-Length: 6\r\nContent-Length: 3\r\n\r\nfailed",
            isBroken = true,
        ),
        First(
            "500 with a length and chunks",
            "500 Failed",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
        ),
        First("304 with a body", "304 Same", "Content-Length: 6\r\n\r\nfailed", body = ""),
        First("204 with a body", "204 None", "Content-Length: 6\r\n\r\nfailed", body = ""),
        First("500 to HEAD, with a body", "500 Failed", "Content-Length: 6\r\n\r\nfailed", "", method = "HEAD"),
        First("500 to HEAD", "500 Failed", "Content-Length: 6\r\n\r\n", "", method = "HEAD"),
    )

    private val seconds = listOf(
        Second("nothing") { "" },
        Second("200 to the request") { "Attempt: $it\r\n" },
        Second("200 to another request") { "Attempt: other\r\n" },
        Second("200 without an identifier") { "" },
    )

    private fun cases() = listOf("/once/1", "/safe/1").flatMap { path ->
        firsts.flatMap { first ->
            seconds.flatMap { second -> listOf(false, true).map { Case(path, first, second, it) } }
        }
    }

    private fun server(case: Case) = ScriptedServer { socket, request, _ ->
        val id = checkNotNull(request.header("Attempt"))
        if ("/1 " in request.line) {
            val head = "HTTP/1.1 ${case.first.status}\r\nAttempt: $id\r\nSignature: s\r\n"
            val fields = "${case.second.id(id)}Signature: s\r\nContent-Length: 6\r\n"
            val second = if (case.second.name == "nothing") "" else "HTTP/1.1 200 OK\r\n$fields\r\nsecond"
            socket.write(case.first.interim + head + case.first.rest + if (case.isLate) "" else second)
            if (case.isLate) {
                Thread.sleep(LATE_MS)
                socket.write(second)
            }
        } else {
            val body = "to $id"
            socket.write(
                "HTTP/1.1 200 OK\r\nAttempt: $id\r\nSignature: s\r\nContent-Length: ${body.length}\r\n\r\n$body",
            )
        }
    }

    /** Returns what is wrong with the responses in [case], or null. */
    private fun fault(case: Case): String? = server(case).let { server ->
        RelayFixture(server, timeoutMs = TIMEOUT_MS).use { relay ->
            val first = relay.exchange(case.path, case.first.method, body = "b")
            val next = relay.exchange("/once/2", "POST", body = "b")
            val status = first.split(' ').getOrNull(1)
            val isOwn = status == case.first.status.take(3) && first.substringAfter("\r\n\r\n") == case.first.body
            val isVisible = status == "502" || (status == "504" && case.first.status != "504 Late")
            val isNextOwn = next.startsWith("HTTP/1.1 200") && next.endsWith("\r\n\r\nto POST/once/2")
            when {
                !isVisible && (!isOwn || case.first.isBroken) -> "$case: $first"

                // A late answer may stand where the next one is due, and names no request.
                !isNextOwn && !next.startsWith("HTTP/1.1 502") -> "$case, next: $next"

                else -> null
            }
        }
    }

    /** Guards against a success, or a body, of a second answer where the first answer is a failure. */
    @Test
    fun `a failure is never replaced by what its server sends behind it`() {
        val cases = cases()
        val faults = cases.mapNotNull(::fault)
        assertTrue(faults.isEmpty(), "${faults.size} of ${cases.size} cases:\n" + faults.joinToString("\n"))
    }

    private companion object {
        const val LATE_MS = 20L
        const val TIMEOUT_MS = 500L
    }
}
