package org.arbutusrelay.daemon.http

import io.javalin.config.RoutesConfig
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains

class HttpServerStopTest {
    /** Guards against closing the connection of an operator's command that is in progress when its host stops. */
    @Test
    fun `a request in progress is answered when the server stops`() {
        val hasStarted = CountDownLatch(1)
        val mayEnd = CountDownLatch(1)
        val routes = object : RouteGroup {
            override fun addTo(routes: RoutesConfig) {
                routes.get("/slow") { ctx ->
                    hasStarted.countDown()
                    mayEnd.await()
                    ctx.result("done")
                }
            }
        }
        val server = HttpServer(LOOPBACK, 0, IDLE_TIMEOUT_MS, listOf(routes), THREADS)
        server.start()
        Socket(InetAddress.getByName(LOOPBACK), server.port).use { socket ->
            socket.getOutputStream().write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
            hasStarted.await()
            val stop = thread { server.stop() }
            // The listener is closed first, so that a refused connection shows that the stop has begun.
            while (isListening(server.port)) Thread.sleep(POLL_MS)
            mayEnd.countDown()
            assertContains(String(socket.getInputStream().readAllBytes()), "done")
            stop.join()
        }
    }

    /** Guards against a stop that fails, or waits out its time limit, because of a connection in keep-alive. */
    @Test
    fun `a stop ends although a connection is idle`() {
        val server = HttpServer(LOOPBACK, 0, IDLE_TIMEOUT_MS, emptyList(), THREADS)
        server.start()
        Socket(InetAddress.getByName(LOOPBACK), server.port).use { socket ->
            socket.getOutputStream().write("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n".encodeToByteArray())
            assertContains(socket.getInputStream().bufferedReader().readLine(), "404")
            server.stop()
        }
    }

    private fun isListening(port: Int) = runCatching { Socket(InetAddress.getByName(LOOPBACK), port).close() }.isSuccess

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val IDLE_TIMEOUT_MS = 10_000L
        const val THREADS = 8
        const val POLL_MS = 5L
    }
}
