package org.arbutusrelay.relay

import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue

/** Backend servers that name in their responses how many requests a second they take from all hosts together. */
class ServerLimitTest {
    /** Guards against hosts that each send a server what they like although it has named a limit for all of them. */
    @Test
    fun `all hosts together keep to the limit that a server names`() {
        val arrivalsMs = ConcurrentLinkedQueue<Long>()
        val startMs = System.nanoTime() / NS_PER_MS
        val nowMs = { System.nanoTime() / NS_PER_MS - startMs }
        val limited = respond("Limit: 1\r\n") { arrivalsMs += nowMs() }
        val other = respond("") { }
        val hosts = List(HOSTS) { RelayFixture(limited, other) }
        LimitedRegion(hosts)
        hosts.mapIndexed { index, host ->
            thread {
                var number = 0
                while (nowMs() < END_MS) {
                    host.exchange("/safe/$index-${number++}")
                    Thread.sleep(INTERVAL_MS)
                }
            }
        }.forEach { it.join() }
        hosts.forEach { it.close() }
        val counted = arrivalsMs.filter { it >= arrivalsMs.first() + CONTACT_MS }
        val most = counted.maxOfOrNull { from -> counted.count { it in from..from + WINDOW_MS } } ?: 0
        assertTrue(most <= MAX_IN_WINDOW, "$most requests in $WINDOW_MS ms")
        assertTrue(other.requests.size > MAX_IN_WINDOW, "${other.requests.size} requests at the other server")
    }

    private fun respond(headers: String, onRequest: () -> Unit): ScriptedServer = ScriptedServer { socket, request, _ ->
        onRequest()
        val id = request.header("Attempt")
        socket.write("HTTP/1.1 200 OK\r\nAttempt: $id\r\nSignature: s\r\n${headers}Content-Length: 1\r\n\r\nb")
    }

    private companion object {
        const val HOSTS = 3
        const val INTERVAL_MS = 50L
        const val NS_PER_MS = 1_000_000

        /** Time from the first statement on for which requests don't count, as hosts need time to pass it on. */
        const val CONTACT_MS = 5_000L
        const val WINDOW_MS = 4_000L
        const val END_MS = 10_000L

        /** One and a half times a limit of 1 a second, plus 5. */
        const val MAX_IN_WINDOW = 11
    }
}
