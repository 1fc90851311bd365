package org.arbutusrelay.relay.node

import arrow.core.Either
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.route.RoutePlanParser
import org.arbutusrelay.core.route.RouteTarget
import org.arbutusrelay.core.route.RoutedService
import org.arbutusrelay.daemon.http.HealthRoutes
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.site.CommandResult
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.RequestMetadata
import org.arbutusrelay.relay.dialect.ResponseMetadata
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.settings.SiteBounds
import org.arbutusrelay.schema.settings.SiteSettings
import org.arbutusrelay.schema.settings.ZoneSettings
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import kotlin.concurrent.thread
import kotlin.system.exitProcess

/**
 * Starts a state host and an entry host on loopback and forwards requests through them.
 *
 * Exits with 0 when each request received its response. The build runs it to record the classes loaded at startup.
 */
public fun main() {
    val isPassed = runBlocking { withTimeout(SelfCheck.TIMEOUT_MS) { SelfCheck().run() } }
    println(if (isPassed) "self-check passed" else "self-check failed")
    exitProcess(if (isPassed) 0 else 1)
}

/** A site of two hosts and one backend server in this process. */
internal class SelfCheck {
    private val ports = List(PORTS) { ServerSocket(0, 1, InetAddress.getByName(STATE_ADDRESS)) }
        .map { socket -> socket.localPort.also { socket.close() } }
    private val folder = Files.createTempDirectory("self-check")
    private val backend = ServerSocket(0, 1, InetAddress.getByName(STATE_ADDRESS))

    suspend fun run(): Boolean {
        thread(isDaemon = true) { runCatching { while (true) respond(backend.accept()) } }
        val state = StateNode(settings(STATE_ADDRESS, isState = true), Parser, { routes() }, { emptyList() })
        val entry = EntryNode(settings(ENTRY_ADDRESS, isState = false), Dialect, Parser, "/ready")
        state.start()
        entry.start()
        while (state.control.publish(ByteArray(1)) !is CommandResult.Done) delay(POLL_MS)
        state.site.announce(backendServer())
        while (!entry.isReady()) delay(POLL_MS)
        val isPassed = (1..REQUESTS).all { sendRequest() }
        entry.close()
        state.stop()
        folder.toFile().deleteRecursively()
        return isPassed
    }

    private suspend fun sendRequest(): Boolean {
        repeat(MAX_ATTEMPTS) {
            val response = Socket(ENTRY_ADDRESS, ports[1]).use { socket ->
                socket.getOutputStream().write(REQUEST.encodeToByteArray())
                String(socket.getInputStream().readAllBytes())
            }
            if (response.startsWith("HTTP/1.1 200")) return true
            delay(POLL_MS)
        }
        return false
    }

    private fun respond(socket: Socket) {
        val reader: BufferedReader = socket.getInputStream().bufferedReader()
        while (true) {
            if (generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }.toList().isEmpty()) return
            val response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata:\n\n\r\n0\r\n\r\n"
            socket.getOutputStream().write(response.encodeToByteArray())
        }
    }

    private fun routes() = listOf(HealthRoutes("", RelayMetrics()) { true })

    private fun backendServer() = BackendServerState(
        "check", "check", "here", "here-a", "$STATE_ADDRESS:${backend.localPort}", 1, 1, 8,
        emptyList(), emptyList(), "", 0, 0, false, 0,
    )

    private fun settings(address: String, isState: Boolean) = SiteSettings(
        nodeName = address,
        bindAddress = address,
        region = "here",
        availabilityZone = "here-a",
        callerAddress = if (isState) null else "$address:${ports[1]}",
        controlAddress = if (isState) "$address:${ports[2]}" else null,
        linkPort = ports[0],
        metricsPort = if (isState) ports[3] else ports[2],
        sharedSecret = "self-check",
        dataFolder = if (isState) "$folder" else null,
        isFounding = isState,
        seeds = listOf(STATE_ADDRESS),
        availabilityZones = listOf(ZoneSettings("here-a", "here")),
        bounds = SiteBounds(0.2, 10.0, 10.0, 1.5, 3.0, 2.0, 5.0),
    )

    private object Parser : RoutePlanParser {
        private val route = Route(
            "check", "check", "/check/", RouteKind.STREAM, 5_000, 1_000, 0, listOf(RouteTarget("check", 1)), 2, true,
            emptyList(),
        )

        override fun parse(content: ByteArray): Either<RelayError, RoutePlan> =
            RoutePlan(1, listOf(route), mapOf("check" to RoutedService("check"))).right()
    }

    private object Dialect : HeaderDialect {
        override fun decodeRequest(headers: HttpHeaders): Either<RelayError, RequestMetadata> =
            RequestMetadata("1", null).right()

        override fun encodeRequest(headers: HttpHeaders, metadata: BackendRequestMetadata) = Unit

        override fun decodeResponse(statusCode: Int, headers: HttpHeaders): ResponseMetadata =
            ResponseMetadata("1", false, true)
    }

    companion object {
        const val TIMEOUT_MS = 30_000L
        private const val STATE_ADDRESS = "127.0.0.1"
        private const val ENTRY_ADDRESS = "127.0.0.2"
        private const val REQUEST = "GET /check/x HTTP/1.1\r\nHost: check\r\nConnection: close\r\n\r\n"
        private const val PORTS = 4
        private const val REQUESTS = 20
        private const val MAX_ATTEMPTS = 100
        private const val POLL_MS = 20L
    }
}
