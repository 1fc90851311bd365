package org.arbutusrelay.daemon

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a graceful shutdown that interrupts a request. */
class ShutdownTest {
    private val daemon = TestDaemon()

    @AfterTest
    fun close() = daemon.close()

    @Test
    fun `a graceful shutdown completes a long stream, refuses new requests and leaves the entry-host list`() {
        val hasStarted = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val server = StubBackendServer {
            startEventStream()
            event(1, "a")
            hasStarted.countDown()
            mayEnd.await()
            event(2, "[DONE]")
            close()
        }
        server.use {
            daemon.announce("e1", "draft", it.address)
            runBlocking(Dispatchers.IO) {
                val stream = async { daemon.chat() }
                hasStarted.await()
                val stop = async { daemon.daemon.stop() }
                while (daemon.membership.entryHosts("registry").hosts.isNotEmpty()) Thread.yield()
                var late = daemon.query()
                while (late.statusCode() == 503 && "no_backend_server" in late.body()) late = nextArrival()
                assertContains(late.body(), """"type":"shutting_down"""")
                assertFalse(stop.isCompleted, "the stream is still open")
                mayEnd.countDown()
                assertContains(stream.await().body(), "[DONE]")
                assertTrue(stop.await())
            }
        }
    }

    // Each arrival restarts the quiet period, so the next request must be sent after it has passed.
    private fun nextArrival() = daemon.query().also { Thread.sleep(2_500) }
}
