package org.arbutusrelay.relay

import org.arbutusrelay.daemon.explain.LoggedLine
import org.arbutusrelay.daemon.explain.RequestTimeline
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.reset
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Injects the three failures described in docs/OPERATIONS.md and determines their causes from the log lines alone. */
class ExplainedFailuresTest {
    private val lines = CopyOnWriteArrayList<EventLine>()
    private val sink = EventSink { lines += it }

    private fun timelineOf(request: String): RequestTimeline = RequestTimeline.of(
        request,
        lines.map {
            LoggedLine("", "host", it)
        },
    )

    /** Guards against a rejected request whose log lines do not show that capacity was exhausted. */
    @Test
    fun `explains a request rejected under load`() {
        val unresponsive = ScriptedServer { _, _, _ -> }
        RelayFixture(unresponsive, log = sink, capacity = 1).use { relay ->
            relay.connect().use { first ->
                first.send("/once/first", "POST", body = "b")
                while (unresponsive.requests.isEmpty()) Thread.onSpinWait()
                assertContains(relay.exchange("/once/second", "POST", body = "b"), "503 Service Unavailable")
            }
        }
        val timeline = timelineOf("POST/once/second")
        assertEquals(listOf(Event.REQUEST_QUEUED, Event.REQUEST_FAILED), timeline.steps.map { it.line.event })
        assertContains(timeline.cause.orEmpty(), "refused without an attempt")
        assertContains(timeline.cause.orEmpty(), "it waited with 1 requests on the host and ended with overloaded")
    }

    /** Guards against a lost request whose log lines do not name the backend server that failed. */
    @Test
    fun `explains a request lost with its backend server`() {
        val server = ScriptedServer { socket, _, _ -> socket.reset() }
        RelayFixture(server, log = sink).use { relay ->
            assertContains(relay.exchange("/once/x", "POST", body = "b"), "502 Bad Gateway")
        }
        lines += EventLine(Event.BACKEND_SERVER_CHANGED, backendServer = "s0", incarnation = 2)
        val cause = timelineOf("POST/once/x").cause.orEmpty()
        assertContains(cause, "lost with backend server s0")
        assertContains(cause, "it came back as incarnation 2")
    }

    /** Guards against a late request whose log lines do not name the region that did not serve it. */
    @Test
    fun `explains a request delayed by an unreachable region`() {
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { unreachable ->
            RelayFixture(log = sink, otherRegionPort = unreachable.localPort).use { relay ->
                relay.exchange("/safe/x")
            }
        }
        assertContains(timelineOf("GET/safe/x").cause.orEmpty(), "region north did not serve it for 1")
    }

    /** Guards against a broken stream whose log lines do not tell how much of which event was cut off. */
    @Test
    fun `explains a stream that broke off inside an event`() {
        val server = ScriptedServer { socket, request, _ ->
            val head = "HTTP/1.1 200 OK\r\nAttempt: ${request.header("Attempt")}\r\nSignature: s\r\n\r\n"
            socket.write(head + "id: 4\ndata: a\n\nid: 5\nda")
            Thread.sleep(50)
            socket.reset()
        }
        RelayFixture(server, log = sink).use { it.exchange("/stream/x", "POST", body = "b") }
        val failed = timelineOf("POST/stream/x").steps.map { it.line }.single { it.event == Event.ATTEMPT_FAILED }
        assertEquals("id: 5\nda".length.toLong(), failed.incompleteEventBytes)
        assertEquals(4, failed.lastEventId)
    }
}
