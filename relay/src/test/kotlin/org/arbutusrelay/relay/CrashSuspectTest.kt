package org.arbutusrelay.relay

import org.arbutusrelay.core.site.SiteStateMachine
import org.arbutusrelay.core.suspect.CrashKeys
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.relay.node.SiteChangeLog
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Requests that crash each backend server that runs them, alone or with a part of their prompt. */
class CrashSuspectTest {
    private val poisonKey = CrashKeys.ofPart("svc", "poison")

    /** Crashes on the part `poison`, as far as a caller sees it: the connection breaks before the response. */
    private fun crashingServer() = ScriptedServer { socket, request, _ ->
        if ("poison" in request.header("Parts").orEmpty()) socket.reset() else answer(socket, request)
    }

    private fun answer(socket: Socket, request: RawRequest) {
        socket.write(signedResponse(request, "done"))
    }

    private fun RelayFixture.status(path: String, parts: String, body: String = "b"): Int =
        exchange(path, "POST", "Parts: $parts\r\n", body).substringAfter(' ').take(3).toInt()

    /** Lets time pass in which the backend servers start again. */
    private fun RelayFixture.restart(incarnation: Int) {
        evidenceTime += 1.seconds
        startServers(incarnation.toLong())
    }

    private fun RelayFixture.recordCrashes(count: Int, keys: List<String>) = repeat(count) {
        crashEvidence.recordCrash("crashed $it", 1, 100, keys)
        evidenceTime += 1.seconds
    }

    /** Guards against a prompt part that crashes one backend server after the other, and against refused sound ones. */
    @Test
    fun `requests with a part that crashed four servers in a row are refused and others are served`() {
        val server = crashingServer()
        RelayFixture(server).use { relay ->
            for (round in 1..9) {
                val poisoned = relay.status("/once/p$round", "first,poison,last $round")
                assertEquals(if (round <= 4) 502 else 503, poisoned, "poison $round")
                relay.restart(round + 1)
                assertEquals(200, relay.status("/once/s$round", "first,middle,last $round"), "sound $round")
            }
            assertEquals(4, server.requests.count { "poison" in it.header("Parts").orEmpty() })
        }
    }

    /** Guards against a refused request that a caller reads as one that may have run, or that comes back at once. */
    @Test
    fun `a request that is held back is refused as not run`() {
        data class Case(val isForwarded: Boolean, val outcome: String?)
        for (case in listOf(Case(false, null), Case(true, "not_run"))) {
            val server = crashingServer()
            RelayFixture(server, isForwarded = case.isForwarded).use { relay ->
                relay.recordCrashes(4, listOf(poisonKey))
                val response = relay.exchange("/once/1", "POST", "Parts: poison,last\r\n", "b")
                val headers = response.lines().associate {
                    it.substringBefore(':').lowercase() to
                        it.substringAfter(": ")
                }
                assertTrue(response.startsWith("HTTP/1.1 503"), response)
                assertTrue(headers.getValue("retry-after").toDouble() >= 10, response)
                assertEquals(case.outcome, headers["arbutus-outcome"], response)
                assertEquals(0, server.requests.size)
            }
        }
    }

    /** Guards against a queued request that is sent after other hosts have reported that it crashes backend servers. */
    @Test
    fun `a queued request that becomes a suspect is refused and never sent`() {
        val release = CountDownLatch(1)
        val isQueued = CountDownLatch(1)
        val log = EventSink {
            if (it.event == Event.REQUEST_QUEUED &&
                it.request == "POST/once/queued"
            ) {
                isQueued.countDown()
            }
        }
        val server = ScriptedServer { socket, request, _ ->
            release.await(WAIT_MS, TimeUnit.MILLISECONDS)
            answer(socket, request)
        }
        RelayFixture(server, log = log, capacity = 1, timeoutMs = WAIT_MS).use { relay ->
            val callers = List(MAX_RUNNING) { relay.connect() }
            callers.forEachIndexed { index, caller ->
                caller.send("/once/$index", "POST", "Parts: first,last\r\n", "b")
            }
            val suspect = relay.connect()
            suspect.send("/once/queued", "POST", "Parts: first,poison,last\r\n", "b")
            assertTrue(isQueued.await(WAIT_MS, TimeUnit.MILLISECONDS))
            relay.recordCrashes(4, listOf(poisonKey))
            assertContains(suspect.readResponse(), "prompt_suspected")
            release.countDown()
            assertContains(callers.first().readResponse(), "200")
            assertEquals(emptyList(), server.requests.filter { "poison" in it.header("Parts").orEmpty() })
            (callers + suspect).forEach { it.close() }
        }
    }

    /** Guards against a request reported as not run after an attempt of it, and against a further attempt of it. */
    @Test
    fun `a request that is held back after its own run is reported as possibly run`() {
        val servers = List(2) { crashingServer() }
        RelayFixture(*servers.toTypedArray()).use { relay ->
            relay.recordCrashes(3, listOf(poisonKey))
            assertEquals(502, relay.status("/safe/1", "poison,last"))
            assertEquals(1, servers.sumOf { it.requests.size })
        }
    }

    /** Guards against a whole request that comes again and again, whatever its parts, and against others like it. */
    @Test
    fun `a request that crashed four servers in a row is refused and one with another body is served`() {
        val server = ScriptedServer { socket, request, _ ->
            if (request.body == "bad") socket.reset() else answer(socket, request)
        }
        RelayFixture(server).use { relay ->
            for (round in 1..6) {
                assertEquals(if (round <= 4) 502 else 503, relay.status("/once/x", "first,last", "bad"), "$round")
                relay.restart(round + 1)
                assertEquals(200, relay.status("/once/x", "first,last", "good"), "$round")
            }
            assertEquals(4, server.requests.count { it.body == "bad" })
        }
    }

    /** Guards against a crash that is not recognized because of how the response is framed or where it breaks off. */
    @Test
    fun `a crash is recognized in each framing and at each place before the second event`() {
        data class Case(val framing: String, val body: String, val isReset: Boolean)
        val unframed = ""
        val length = "Content-Length: 100\r\n"
        val chunked = "Transfer-Encoding: chunked\r\n"
        val cases = listOf(
            Case(unframed, "", isReset = false),
            Case(unframed, "id: 1\nda", isReset = false),
            Case(unframed, "id: 1\nda", isReset = true),
            Case(unframed, "id: 1\ndata: a\n\nid: 2", isReset = false),
            Case(length, "", isReset = false),
            Case(length, "id: 1\nda", isReset = false),
            Case(length, "id: 1\ndata: a\n\nid: 2", isReset = true),
            Case(chunked, "", isReset = false),
            Case(chunked, "c\r\nid: 1\nda", isReset = false),
            Case(chunked, "8\r\nid: 1\nda\r\n", isReset = false),
            // The body ends in order, but inside an event.
            Case(chunked + "Connection: close\r\n", "8\r\nid: 1\nda\r\n0\r\n\r\n", isReset = false),
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ ->
                val head = "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n"
                socket.write("$head${case.framing}\r\n${case.body}")
                Thread.sleep(POLL_MS)
                if (case.isReset) socket.reset() else socket.close()
            }
            RelayFixture(server).use { relay ->
                for (round in 1..6) {
                    val response = relay.exchange("/stream/p$round", "POST", "Parts: first,poison,last $round\r\n", "b")
                    assertFalse(response.endsWith("\r\n0\r\n\r\n"), "$case: the stream looks complete: $response")
                    relay.restart(round + 1)
                }
                assertEquals(4, server.requests.size, "$case")
                assertTrue(poisonKey in relay.crashEvidence.heldBack, "$case")
            }
        }
    }

    /** Guards against sound requests that are refused because a server refuses, fails, is slow or stops midway. */
    @Test
    fun `only a connection that breaks before the response has begun is evidence`() {
        data class Case(val name: String, val path: String, val script: (Socket, RawRequest) -> Unit)
        val head = { request: RawRequest ->
            "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n"
        }
        val cases = listOf(
            Case("error", "/once/") { socket, request ->
                socket.write("HTTP/1.1 500 E\r\nAttempt: ${request.header("Attempt")}\r\nContent-Length: 0\r\n\r\n")
            },
            Case("refusal", "/once/") { socket, _ ->
                socket.write("HTTP/1.1 503 E\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            },
            Case("no response", "/once/") { _, _ -> },
            Case("malformed", "/once/") { socket, _ -> socket.write("nonsense\r\n\r\n") },
            Case("broken after two events", "/stream/") { socket, request ->
                socket.write(
                    head(request) + "Transfer-Encoding: chunked\r\n\r\n" +
                        "1c\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n",
                )
                Thread.sleep(POLL_MS)
                socket.reset()
            },
        )
        for (case in cases) {
            val server = ScriptedServer { socket, request, _ -> case.script(socket, request) }
            RelayFixture(server, timeoutMs = 300).use { relay ->
                for (round in 1..6) {
                    relay.exchange("${case.path}$round", "POST", "Parts: first,last\r\n", "b")
                    relay.restart(round + 1)
                }
                assertTrue(server.requests.size >= 6, "${case.name}: ${server.requests.size}")
                assertEquals(emptySet(), relay.crashEvidence.heldBack, case.name)
            }
        }
    }

    /** Guards against an operator who cannot see what is refused and since when. */
    @Test
    fun `a line tells that a part is held back and that it is released`() {
        val lines = ArrayList<EventLine>()
        val log = SiteChangeLog { lines += it }
        for (held in listOf(setOf(poisonKey), setOf(poisonKey), emptySet())) {
            log.onView(SiteView(SiteStateMachine.EMPTY, emptyList(), emptyList(), 0, held))
        }
        val expected = listOf(Event.SUSPECT_HELD_BACK to poisonKey, Event.SUSPECT_RELEASED to poisonKey)
        assertEquals(expected, lines.map { it.event to it.detail })
    }

    private companion object {
        const val WAIT_MS = 8_000L
        const val POLL_MS = 10L

        /** Requests that fill the backend server and what it may queue. */
        const val MAX_RUNNING = 4
    }
}
