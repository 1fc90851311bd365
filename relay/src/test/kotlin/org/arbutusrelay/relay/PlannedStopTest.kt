package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class PlannedStopTest {
    private class Case(val name: String, val headDelayMs: Long, val bodyDelayMs: Long, val serverDelayMs: Long)

    private fun server(delayMs: Long) = ScriptedServer { socket, request, _ ->
        Thread.sleep(delayMs)
        socket.write(signedResponse(request, "served"))
    }

    /** Guards against cutting off a request that was accepted, or partly read, when the host began to stop. */
    @Test
    fun `requests that were accepted before a stop are answered`() {
        val cases = listOf(
            Case("in progress at a server", 0, 0, 600),
            Case("accepted without a byte", 150, 0, 0),
            Case("read up to its head", 0, 600, 0),
        )
        for (case in cases) {
            RelayFixture(server(case.serverDelayMs)).use { relay ->
                relay.connect().use { caller -> checkAnswered(case, relay, caller) }
            }
        }
    }

    private fun checkAnswered(case: Case, relay: RelayFixture, caller: Socket) {
        val sender = thread {
            Thread.sleep(case.headDelayMs)
            caller.getOutputStream().write(HEAD.encodeToByteArray())
            Thread.sleep(case.bodyDelayMs)
            caller.getOutputStream().write("b".encodeToByteArray())
        }
        while (relay.acceptedConnections.get() == 0) Thread.sleep(POLL_MS)
        var isDrained = false
        val stop = thread { isDrained = relay.stopGracefully() }
        assertContains(caller.readResponse(), "served", message = case.name)
        listOf(sender, stop).forEach { it.join() }
        assertTrue(isDrained, case.name)
    }

    private class Late(
        val name: String,
        val path: String,
        val waitMs: Long,
        val isForwarded: Boolean,
        val status: String,
    )

    /** Guards against accepting a request long after a stop began and cutting it off when the process ends. */
    @Test
    fun `a request that arrives after the host lists have expired is accepted only if it ends before the host`() {
        val cases = listOf(
            Late("may outlast the host", "/once/x", 60_000, false, "503"),
            Late("stream that may outlast the host", "/stream/x", 60_000, false, "503"),
            Late("forwarded, may outlast the host", "/once/x", 60_000, true, "503"),
            Late("ends before the host", "/once/x", 1_000, false, "200"),
        )
        for (case in cases) {
            val server = server(0)
            RelayFixture(server, timeoutMs = 60_000, isForwarded = case.isForwarded).use { relay ->
                val response = relay.exchangeDuringStop(case)
                assertContains(response.lineSequence().first(), case.status, message = case.name)
                val isRefused = case.status == "503"
                assertEquals(isRefused, "Retry-After: 0.000" in response, case.name)
                assertEquals(if (isRefused) 0 else 1, server.requests.size, case.name)
            }
        }
    }

    private fun RelayFixture.exchangeDuringStop(case: Late): String = connect().use { caller ->
        while (acceptedConnections.get() == 0) Thread.sleep(POLL_MS)
        val stop = thread { stopGracefully() }
        while (!isDraining) Thread.sleep(POLL_MS)
        caller.send(case.path, "POST", "Wait-Ms: ${case.waitMs}\r\n", body = "b")
        String(caller.getInputStream().readAllBytes()).also { stop.join() }
    }

    /** Guards against sending a request that waited for a slot when the host can no longer wait for its response. */
    @Test
    fun `a request that waits for a slot when a stop gets close to its end is refused at once`() {
        val mayEnd = CountDownLatch(1)
        val lines = CopyOnWriteArrayList<EventLine>()
        val server = ScriptedServer { socket, request, _ ->
            mayEnd.await()
            socket.write(signedResponse(request, "served"))
        }
        RelayFixture(server, log = { lines += it }, capacity = 1, timeoutMs = 60_000).use { relay ->
            val running = relay.connect()
            running.send("/once/running", "POST", body = "b")
            while (lines.none { it.event == Event.REQUEST_PLACED }) Thread.sleep(POLL_MS)
            val waiting = relay.connect()
            waiting.send("/once/waiting", "POST", body = "b")
            while (lines.none { it.event == Event.REQUEST_QUEUED }) Thread.sleep(POLL_MS)
            val stop = thread { relay.stopGracefully() }
            waiting.use { assertContains(it.readResponse(), "503") }
            mayEnd.countDown()
            running.use { assertContains(it.readResponse(), "served") }
            stop.join()
            assertEquals(1, server.requests.size)
        }
    }

    /** Guards against cutting off a complete response that its caller has not read yet. */
    @Test
    fun `a stop waits for a caller that reads its response slowly`() {
        val lines = CopyOnWriteArrayList<EventLine>()
        val text = "x".repeat(LONG_RESPONSE_BYTES)
        val server = ScriptedServer { socket, request, _ -> socket.write(signedResponse(request, text)) }
        RelayFixture(server, log = { lines += it }).use { relay ->
            relay.connect(receiveBufferBytes = 4_096).use { caller ->
                caller.send("/once/x", "POST", body = "b")
                while (lines.none { it.event == Event.REQUEST_ANSWERED }) Thread.sleep(POLL_MS)
                val stop = thread { relay.stopGracefully(quietMs = 50) }
                while (!relay.isDraining) Thread.sleep(POLL_MS)
                // Long enough for several looks at quiet connections.
                Thread.sleep(SLOW_READER_MS)
                assertEquals(
                    text.length,
                    String(caller.getInputStream().readAllBytes()).substringAfter("\r\n\r\n").length,
                )
                stop.join()
            }
        }
    }

    /** Guards against dropping a request that was read behind a stream whose head did not announce the close. */
    @Test
    fun `a request that is pipelined behind a stream is answered when a stop begins`() {
        val mayEnd = CountDownLatch(1)
        val streaming = ScriptedServer { socket, request, _ ->
            socket.write(
                "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata:\n\n\r\n",
            )
            mayEnd.await()
            socket.write("0\r\n\r\n")
        }
        RelayFixture(streaming).use { relay ->
            relay.connect().use { caller ->
                caller.send("/stream/x", "POST", body = "b")
                caller.send("/nowhere/x", "POST", body = "b")
                val head = ScriptedServer.readLine(caller.getInputStream())
                val stop = thread { relay.stopGracefully() }
                while (!relay.isDraining) Thread.sleep(POLL_MS)
                mayEnd.countDown()
                val rest = String(caller.getInputStream().readAllBytes())
                stop.join()
                assertContains(head.orEmpty(), "200")
                assertContains(rest, "HTTP/1.1 404")
            }
        }
    }

    /** Guards against closing the connection of a request that was read, without a response, when the process ends. */
    @Test
    fun `a request that is left when the host ends gets an error`() {
        val lines = CopyOnWriteArrayList<EventLine>()
        RelayFixture(server(60_000), log = { lines += it }, capacity = 1, timeoutMs = 60_000).use { relay ->
            val running = relay.connect()
            running.send("/once/running", "POST", body = "b")
            while (lines.none { it.event == Event.REQUEST_PLACED }) Thread.sleep(POLL_MS)
            // Several, because the slot of the running request is given to one of them when it ends first.
            val waiting = List(4) { relay.connect() }
            waiting.forEach { it.send("/once/waiting", "POST", body = "b") }
            while (lines.count { it.event == Event.REQUEST_QUEUED } < waiting.size) Thread.sleep(POLL_MS)
            val partlyRead = relay.connect()
            partlyRead.getOutputStream().write(HEAD.encodeToByteArray())
            while (relay.acceptedConnections.get() < waiting.size + 2) Thread.sleep(POLL_MS)
            assertFalse(relay.stopGracefully(quietMs = 100, graceMs = 300))
            val expected = mapOf(running to "502", partlyRead to "503") + waiting.associateWith { "503" }
            for ((caller, status) in expected) {
                val response = caller.use { String(it.getInputStream().readAllBytes()) }
                assertContains(response.lineSequence().first(), status)
                assertEquals(status == "503", response.contains("Retry-After: 0", ignoreCase = true), response)
            }
        }
    }

    /** Guards against connections that are reset because the listener closes before a late event loop accepts them. */
    @Test
    fun `connections that wait to be accepted when the listener is due to close are answered`() {
        RelayFixture(server(0)).use { relay ->
            var callers = emptyList<Socket>()
            val stop = thread { relay.stopGracefully() }
            while (!relay.isDraining) Thread.sleep(POLL_MS)
            // The loop is free at first, so that only the close of the listener is due while it is busy.
            Thread.sleep(FREE_LOOP_MS)
            relay.applyRoutesLate(emptyList(), number = 1, busyMs = 600) {
                callers = List(4) { relay.connect() }
                callers.forEach { it.send("/once/x", "POST", "Wait-Ms: 1000\r\n", body = "b") }
            }
            callers.forEach { caller -> caller.use { assertContains(it.readResponse(), "served") } }
            stop.join()
        }
    }

    /** Guards against a request that waited for a suspended host and whose connection looked quiet at its return. */
    @Test
    fun `a request that arrives while the event loop pauses is answered`() {
        for (pausedCall in 1..3) {
            RelayFixture(server(0)).use { relay ->
                val caller = relay.connect()
                caller.send("/once/1", "POST", body = "b")
                assertContains(caller.readResponse(), "served")
                var calls = 0
                var clockMs = 0L
                assertTrue(
                    relay.drain(quietMs = 100, endMs = 5_000) {
                        if (++calls == pausedCall) {
                            caller.send("/once/2", "POST", body = "b")
                            Thread.sleep(PAUSE_MS)
                            clockMs += 600
                        }
                        clockMs++
                    },
                )
                assertContains(caller.readResponse(), "served", message = "pause at call $pausedCall")
                caller.close()
            }
        }
    }

    /** Guards against requests on open connections while the process ends, which nobody reads any more. */
    @Test
    fun `the connections that carry no request are closed at the end of a stop`() {
        val cases = listOf<Pair<String, (Socket) -> Unit>>(
            "no byte yet" to {},
            "answered" to {
                it.send("/once/1", "POST", body = "b")
                assertContains(it.readResponse(), "served")
            },
        )
        for ((name, use) in cases) {
            RelayFixture(server(0)).use { relay -> relay.connect().use { checkClosedAtEnd(name, relay, it, use) } }
        }
    }

    private fun checkClosedAtEnd(name: String, relay: RelayFixture, caller: Socket, use: (Socket) -> Unit) {
        while (relay.acceptedConnections.get() == 0) Thread.sleep(POLL_MS)
        use(caller)
        assertTrue(relay.drain(quietMs = 50, endMs = 0) { 0 }, name)
        assertEquals(-1, caller.getInputStream().read(), name)
    }

    /** Guards against giving up, or running again elsewhere, what a server runs that was only silent for a while. */
    @Test
    fun `a server that falls out of the table keeps its running requests`() {
        for (path in listOf("/once/x", "/safe/x")) {
            val servers = List(2) { server(delayMs = 600) }
            RelayFixture(*servers.toTypedArray()).use { relay ->
                assertContains(relay.forgetWhileRunning(path, servers), "served", message = path)
                assertEquals(1, servers.sumOf { it.requests.size }, path)
            }
        }
    }

    private fun RelayFixture.forgetWhileRunning(path: String, servers: List<ScriptedServer>): String =
        connect().use { caller ->
            caller.send(path, "POST", body = "b")
            while (servers.all { it.requests.isEmpty() }) Thread.sleep(POLL_MS)
            forgetServers()
            caller.readResponse()
        }

    /** Guards against giving a backend server time that the caller spent waiting for a starved host. */
    @Test
    fun `the time that a request waited unread is not given to the backend server`() {
        val server = server(0)
        RelayFixture(server, timeoutMs = 20_000).use { relay ->
            for (lagMs in listOf(0L, 6_000L)) {
                relay.lagMs = lagMs
                relay.exchange("/once/$lagMs", "POST", headers = "Wait-Ms: 10000\r\n", body = "b")
            }
            val given = server.requests.map { checkNotNull(it.header("Wait-Ms")).toLong() }
            assertEquals(2, given.size)
            assertTrue(given[0] in 5_000..10_000 && given[1] <= 4_000, "$given")
        }
    }

    private companion object {
        const val POLL_MS = 5L
        const val FREE_LOOP_MS = 50L
        const val SLOW_READER_MS = 600L

        /** Long enough for the request to arrive in the socket of the host. */
        const val PAUSE_MS = 100L

        /** More than the socket buffers hold of a caller with a small receive buffer, less than a response may have. */
        const val LONG_RESPONSE_BYTES = 4_000_000
        const val HEAD = "POST /once/x HTTP/1.1\r\nHost: a.example\r\nAttempt: a\r\nContent-Length: 1\r\n\r\n"
    }
}
