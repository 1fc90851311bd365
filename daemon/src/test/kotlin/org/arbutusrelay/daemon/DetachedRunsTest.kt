package org.arbutusrelay.daemon

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.ledger.LocalLedgerClient
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Tracing
import org.arbutusrelay.daemon.request.AtMostOnceExecutor
import org.arbutusrelay.daemon.request.DetachedRuns
import org.arbutusrelay.daemon.request.InFlightRequests
import org.arbutusrelay.daemon.request.IncomingRequest
import org.arbutusrelay.daemon.request.RequestResolver
import org.arbutusrelay.daemon.request.ResolvedRequest
import org.arbutusrelay.daemon.request.ResponseBuffer
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import java.util.concurrent.CountDownLatch
import kotlin.coroutines.CoroutineContext
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against losing the response of a non-idempotent request that arrives after the wait has expired. */
class DetachedRunsTest {
    @Test
    fun `a response that arrives after the wait is stored and returned to a resend`() {
        val mayRespond = CountDownLatch(1)
        StubBackendServer {
            mayRespond.await()
            respond(200, "late")
        }.use { server ->
            TestDaemon(waitMs = 300).use { daemon ->
                daemon.announce("b1", "board", server.address)
                val first = daemon.post()
                assertEquals(504, first.statusCode(), first.body())
                assertContains(first.body(), """"outcome":"unknown"""")
                assertContains(daemon.post().body(), "in_progress")
                mayRespond.countDown()
                var resent = daemon.post()
                while ("in_progress" in resent.body()) resent = daemon.post()
                assertEquals("late", resent.body())
            }
            assertEquals(1, server.received.size)
        }
    }

    @Test
    fun `detached runs are bounded and count as in flight`() = runTest {
        val scope = CoroutineScope(Job() + StandardTestDispatcher(testScheduler))
        val inFlight = InFlightRequests(10, RelayClock())
        val detachedRuns = DetachedRuns(scope, inFlight, maxCount = 1)
        val mayEnd = CompletableDeferred<Unit>()
        val isCancelled = CompletableDeferred<Unit>()
        assertNull(detachedRuns.await(1) { mayEnd.await() })
        assertEquals(1, inFlight.count)
        assertFalse(inFlight.awaitIdle(1), "a graceful shutdown must wait for the detached run")
        val second = detachedRuns.await(1) {
            try {
                awaitCancellation()
            } finally {
                isCancelled.complete(Unit)
            }
        }
        assertNull(second)
        isCancelled.await()
        mayEnd.complete(Unit)
        assertTrue(inFlight.awaitIdle(10_000))
        scope.cancel()
    }

    /** Guards against a grant that stays open because its run was cancelled before a thread was free for it. */
    @Test
    fun `a run that is cancelled while it waits for a thread is not sent and gives its grant back`() = runTest {
        val dispatcher = HeldDispatcher()
        val clock = RelayClock()
        val inFlight = InFlightRequests(10, clock)
        val ledger = LocalLedgerClient()
        val detachedRuns = DetachedRuns(CoroutineScope(Job() + dispatcher), inFlight, maxCount = 0)
        val executor = AtMostOnceExecutor(ledger, clock, RelayMetrics(), detachedRuns)
        val request = posting(clock)
        val key = checkNotNull(request.ledgerKey)
        var isSent = false
        val end = executor.run(request, key, ResponseBuffer()) {
            isSent = true
            AttemptEnd.Complete(200)
        }
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, assertIs<AttemptEnd.Failed>(end).error.kind)
        dispatcher.runHeld()
        assertFalse(isSent, "the caller has been told that the wait is over")
        val resent = RequestId("hue-1", 7, 2).toAttempt()
        val grant = LedgerGrant(key, resent, request.profile.digest, 1_000, service = "board")
        assertEquals(Decision.GRANTED, assertIs<Either.Right<LedgerReply>>(ledger.grant("hue", grant)).value.decision)
    }

    /** Keeps every task until [runHeld], as a pool does whose threads are all in use. */
    private class HeldDispatcher : CoroutineDispatcher() {
        private val held = ArrayDeque<Runnable>()

        override fun dispatch(context: CoroutineContext, block: Runnable) = held.addLast(block)

        fun runHeld() = generateSequence { held.removeFirstOrNull() }.forEach(Runnable::run)
    }

    private fun posting(clock: RelayClock): ResolvedRequest {
        val view = ManifestView(manifest(), "digest")
        val caller = view.manifest.callers.single()
        val incoming = IncomingRequest(
            caller,
            "board",
            "post",
            "k",
            "POST",
            "/notices",
            emptyList(),
            "notice".encodeToByteArray(),
        )
        val span = Tracing("hue-1").startRemote("test", "")
        return RequestResolver(clock, "hue").resolve(incoming, RequestId("hue-1", 7, 1), view, span)
            .fold({ error("not resolved: $it") }, { it })
    }
}
