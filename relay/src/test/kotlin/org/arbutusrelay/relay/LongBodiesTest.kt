package org.arbutusrelay.relay

import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ScriptedServer.Companion.signedResponse
import org.arbutusrelay.relay.ScriptedServer.Companion.write
import org.arbutusrelay.relay.ingress.BodyAdmission
import java.io.IOException
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Many callers that send long bodies at once. */
class LongBodiesTest {
    private val server = ScriptedServer { socket, request, _ ->
        if (request.body.length > SHORT_BYTES) Thread.sleep(RUN_MS)
        socket.write(signedResponse(request, "${request.body.length}"))
    }

    private fun RelayFixture.sendLong(name: Int): String = connect().use { caller ->
        try {
            caller.send("/safe/long-$name", "POST", body = "x".repeat(LONG_BYTES))
        } catch (_: IOException) {
            // The relay may close the connection after its response, while the body is still sent.
        }
        caller.readResponse()
    }

    /** Guards against long bodies that exhaust the memory of a host and end the requests of other callers with it. */
    @Test
    fun `short requests are served beside long bodies, which are served or refused`() {
        val bodies = BodyAdmission(totalBytes = 4L * LONG_BYTES)
        val callers = Executors.newFixedThreadPool(CALLERS)
        val fixture =
            RelayFixture(server, capacity = 100, maxBodyBytes = LONG_BYTES, bodies = bodies, timeoutMs = 8_000)
        fixture.use { relay ->
            val long = List(CALLERS) { callers.submit(Callable { relay.sendLong(it) }) }
            repeat(SHORT_REQUESTS) {
                assertContains(relay.exchange("/safe/short-$it", "POST", body = "b"), "200 OK", message = "$it")
                assertTrue(bodies.reservedBytes <= 4L * LONG_BYTES)
            }
            val statuses = long.map(Future<String>::get).groupingBy { it.substringBefore('\n') }.eachCount()
            val served = statuses["HTTP/1.1 200 OK"] ?: 0
            val refused = statuses["HTTP/1.1 503 Service Unavailable"] ?: 0
            assertEquals(CALLERS, served + refused, "$statuses")
            assertTrue(served >= 3, "$statuses")
            awaitTrue { bodies.reservedBytes == 0L && bodies.waitingCount == 0 }
        }
        callers.shutdown()
    }

    /** Guards against callers that announce long bodies, send next to nothing and hold the memory of others. */
    @Test
    fun `senders that stall hold no memory for what they have not sent`() {
        val bodies = BodyAdmission(totalBytes = 4L * LONG_BYTES)
        RelayFixture(server, capacity = 100, maxBodyBytes = LONG_BYTES, bodies = bodies).use { relay ->
            val stalled = List(CALLERS) {
                relay.connect().apply {
                    write("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: $LONG_BYTES\r\n\r\nx")
                }
            }
            awaitTrue { bodies.reservedBytes == CALLERS.toLong() }
            assertContains(relay.sendLong(0), "200 OK")
            stalled.forEach { it.close() }
            awaitTrue { bodies.reservedBytes == 0L }
        }
    }

    private companion object {
        const val CALLERS = 40
        const val LONG_BYTES = 2 * 1024 * 1024
        const val SHORT_BYTES = 100
        const val SHORT_REQUESTS = 20
        const val RUN_MS = 200L
    }
}
