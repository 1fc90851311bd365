package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Callers that leave while a host is too late to read their request. */
class UnreadCallerTest {
    private data class Case(val method: String, val path: String, val isKept: Boolean, val isReset: Boolean)

    /** Guards against work for nobody: a late host reads the request and the close of its connection at once. */
    @Test
    fun `a request whose caller has left before it is read is not sent`() {
        val kinds = listOf("GET" to "/safe/left", "POST" to "/once/left", "GET" to "/stream/left")
        val cases = kinds.flatMap { (method, path) ->
            listOf(true, false).flatMap { isKept -> listOf(true, false).map { Case(method, path, isKept, it) } }
        }
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(server).use { relay ->
            cases.forEachIndexed { index, case ->
                val kept = if (case.isKept) relay.connect().also(::useOnce) else null
                relay.whileLate(index) { leave(kept ?: relay.connect(), case) }
                assertContains(relay.exchange("/safe/after"), "200 OK", message = "$case")
                assertEquals(emptyList(), server.requests.filter { "left" in it.line }, "$case")
            }
        }
    }

    /** Guards against a caller that waits and is taken for one that has left. */
    @Test
    fun `a late host serves each request whose caller still waits`() {
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, "ok")) }
        RelayFixture(server).use { relay ->
            val callers = List(CALLERS) { relay.connect() }
            relay.whileLate(0) { callers.forEach { it.send("/safe/waits") } }
            callers.forEach { caller -> caller.use { assertContains(it.readResponse(), "200 OK") } }
        }
    }

    /** Runs [action] while the event loop is busy, so that it finds everything that was sent meanwhile at once. */
    private fun RelayFixture.whileLate(index: Int, action: () -> Unit) =
        applyRoutesLate(emptyList(), index + 2L, busyMs = 0, action)

    private fun useOnce(caller: Socket) {
        caller.send("/safe/first")
        assertContains(caller.readResponse(), "200 OK")
    }

    private fun leave(caller: Socket, case: Case) {
        caller.send(case.path, case.method, body = if (case.method == "POST") "body" else "")
        if (case.isReset) caller.setSoLinger(true, 0)
        caller.close()
    }

    private companion object {
        const val CALLERS = 8
    }
}
