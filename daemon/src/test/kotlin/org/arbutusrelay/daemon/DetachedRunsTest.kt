package org.arbutusrelay.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.arbutusrelay.daemon.request.DetachedRuns
import org.arbutusrelay.daemon.request.InFlightRequests
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
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
    fun `detached runs are bounded and count as in flight`() {
        val scope = CoroutineScope(Job() + Dispatchers.Default)
        val inFlight = InFlightRequests(10, RelayClock())
        val detachedRuns = DetachedRuns(scope, inFlight, maxCount = 1)
        val mayEnd = CompletableDeferred<Unit>()
        val isCancelled = CompletableDeferred<Unit>()
        runBlocking {
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
        }
        scope.cancel()
    }
}
