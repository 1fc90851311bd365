package org.arbutusrelay.daemon

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.daemon.request.LocalRequestScheduler
import org.arbutusrelay.daemon.request.LocalSuspectTracker
import org.arbutusrelay.daemon.request.PrefixHasher
import org.arbutusrelay.daemon.request.SuspectDecision
import org.arbutusrelay.schema.api.EngineOrder
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

/** Guards against faults in prefix hashing, crash suspects, hedging, trace propagation and engine orders. */
class RequestPathTest {
    @Test
    fun `equal prefixes have equal hashes and a changed block changes all later hashes`() {
        val text = "a".repeat(PrefixHasher.BLOCK_CHARS * 3)
        val hashes = PrefixHasher.hashes(text)
        assertEquals(hashes.take(2), PrefixHasher.hashes(text.dropLast(1)))
        assertEquals(3, hashes.toSet().size, "a block's hash depends on the blocks before it")
        PrefixHasher.hashes("b" + text.drop(1)).zip(hashes).forEach { (changed, original) ->
            assertNotEquals(original, changed)
        }
    }

    @Test
    fun `one crash counts once for each request in flight and only a response clears a suspect`() {
        val tracker = LocalSuspectTracker()
        listOf("a", "b").forEach { tracker.recordStart(it, "s1", 1, 0) }
        listOf("a", "b").forEach { tracker.recordCrash(it, "s1", 0) }
        assertEquals(List(2) { SuspectDecision.RUN_ISOLATED }, listOf("a", "b").map { tracker.decide(it, 0) })
        tracker.recordStart("a", "s1", 1, 1)
        tracker.recordInconclusive("a", "s1", 1)
        assertEquals(SuspectDecision.RUN_ISOLATED, tracker.decide("a", 1), "a refused connection clears no suspect")
        tracker.recordStart("a", "s2", 1, 2)
        tracker.recordCrash("a", "s2", 2)
        tracker.recordStart("b", "s2", 1, 2)
        tracker.recordResponse("b", "s2", 2)
        assertEquals(SuspectDecision.REFUSE, tracker.decide("a", 2))
        assertEquals(SuspectDecision.RUN, tracker.decide("b", 2))
        assertEquals(SuspectDecision.RUN, tracker.decide("a", 600_002))
    }

    @Test
    fun `a hedged attempt that responds first wins and the slow attempt is cancelled`() {
        val isCancelled = CountDownLatch(1)
        val slow = StubBackendServer { if (method == "DELETE") isCancelled.countDown() else isCancelled.await() }
        val fast = StubBackendServer {
            startEventStream()
            event(1, "[DONE]")
            close()
        }
        val delegate = LocalRequestScheduler("hue", 10)
        val scheduler = object : RequestScheduler by delegate {
            override fun tryHedge(attempt: PlacedAttempt, nowMs: Long) =
                attempt.copy(backendServer = "e2", address = fast.address, attemptNumber = 999, isHedge = true)
        }
        TestDaemon(scheduler = scheduler).use { daemon ->
            daemon.announce("e1", "draft", slow.address)
            assertEquals("id: 1\ndata: [DONE]\n\n", daemon.chat().body())
            isCancelled.await()
        }
        slow.close()
        fast.close()
    }

    @Test
    fun `the trace of the caller is propagated to the backend server with a separate span for the queue`() {
        val spans = CopyOnWriteArrayList<SpanData>()
        val exporter = object : SpanExporter {
            override fun export(ended: Collection<SpanData>) = CompletableResultCode.ofSuccess().also { spans += ended }

            override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

            override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()
        }
        val trace = "0af7651916cd43dd8448eb211c80319c"
        StubBackendServer { respond(200, "x") }.use { server ->
            TestDaemon(tracing = Tracing("hue-1", exporter = exporter)).use { daemon ->
                daemon.announce("b1", "board", server.address)
                daemon.send("GET", "/v1/services/board/x", "", "traceparent" to "00-$trace-b7ad6b7169203331-01")
            }
            val attempt = spans.single { it.name == "attempt" }
            assertEquals("00-$trace-${attempt.spanId}-01", server.received.single().headers["traceparent"])
            val request = spans.single { it.name == "request" }
            assertEquals("b7ad6b7169203331", request.parentSpanId)
            assertEquals(request.spanId, spans.single { it.name == "queue" }.parentSpanId)
        }
    }

    @Test
    fun `an order is sent once and its reply or failure is returned`() {
        val order = EngineOrder("o1", 4, EngineOrder.Action.LOAD, "m")
        StubBackendServer {
            if (isFirstOrder(body)) respond(200, """{"decision":"done","highestToken":4}""") else reset()
        }.use { server ->
            BackendClient().use { client ->
                assertEquals(4, client.sendOrder(server.address, order, 5_000).getOrNull()?.highestToken)
                val lost = client.sendOrder(server.address, order.copy(orderId = "o2"), 5_000)
                assertEquals("backend_failed", lost.leftOrNull()?.kind?.id)
            }
            assertEquals(listOf("/v1/orders", "/v1/orders"), server.received.map { it.target })
            assertContains(server.received[0].body, """"fencingToken":4""")
        }
    }

    private fun isFirstOrder(body: String) = "\"o1\"" in body
}
