package org.arbutusrelay.relay

import io.netty.channel.nio.NioEventLoopGroup
import org.arbutusrelay.relay.RelayFixture.Companion.readResponse
import org.arbutusrelay.relay.RelayFixture.Companion.send
import org.arbutusrelay.relay.ingress.StatusResponse
import org.arbutusrelay.relay.ingress.StatusServer
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class StatusServerTest {
    /** Guards against a readiness response that is stale or belongs to another path. */
    @Test
    fun `each path has its own response, computed for each request`() {
        data class Case(val path: String, val isReady: Boolean, val response: String)
        val cases = listOf(
            Case("/ready", false, "HTTP/1.1 503 Service Unavailable\n"),
            Case("/ready", true, "HTTP/1.1 200 OK\n"),
            Case("/ready?x=1", true, "HTTP/1.1 200 OK\n"),
            Case("/metrics", true, "HTTP/1.1 200 OK\nm 1"),
            Case("/other", true, "HTTP/1.1 404 Not Found\n"),
        )
        var isReady = false
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        val group = NioEventLoopGroup(1)
        val responders = mapOf(
            "/ready" to { StatusResponse(if (isReady) 200 else 503) },
            "/metrics" to { StatusResponse(200, "m 1") },
        )
        val server = StatusServer(group, "127.0.0.1:$port", responders).apply { start() }
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = RelayFixture.TIMEOUT_MS
            cases.forEach { case ->
                isReady = case.isReady
                socket.send(case.path)
                assertEquals(case.response, socket.readResponse(), "$case")
            }
        }
        server.stop()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}
