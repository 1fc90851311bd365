package org.arbutusrelay.daemon.http

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.util.JavalinException
import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.NetworkConnectionLimit
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.handler.GracefulHandler
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.io.IOException

/**
 * The HTTP server for callers, operators and backend servers.
 *
 * Its threads read requests and never block on a response. [idleTimeoutMs] limits how long a read or a write may make
 * no progress.
 */
public class HttpServer(
    private val bindAddress: String,
    private val bindPort: Int,
    private val idleTimeoutMs: Long,
    private val routeGroups: List<RouteGroup>,
    private val maxThreads: Int = 64,
) {
    private val logger = LogManager.getLogger(HttpServer::class.java)
    private val javalin: Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.startup.showOldJavalinVersionWarning = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.http.asyncTimeout = 0
        config.jetty.threadPool = QueuedThreadPool(maxThreads, MIN_THREADS).apply { name = "http" }
        config.jetty.modifyServer {
            it.addBean(NetworkConnectionLimit(MAX_CONNECTIONS, it))
            it.handler = GracefulHandler()
            it.stopTimeout = STOP_TIMEOUT_MS
        }
        config.jetty.addConnector { server, http ->
            ServerConnector(
                server,
                ACCEPTOR_THREADS,
                SELECTOR_THREADS,
                HttpConnectionFactory(http.apply(::configureHttp)),
            ).apply {
                host = bindAddress
                port = bindPort
                idleTimeout = idleTimeoutMs
                shutdownIdleTimeout = STOP_IDLE_TIMEOUT_MS
            }
        }
        routeGroups.forEach { it.addTo(config.routes) }
        config.routes.error(NOT_FOUND) { ctx ->
            if (!ctx.res().isCommitted && ctx.res().contentType?.startsWith("application/problem") != true) {
                ctx.problem(RelayError(ErrorKind.NOT_FOUND, "${ctx.method()} ${ctx.path()}"))
            }
        }
        config.routes.exception(Exception::class.java) { e, ctx ->
            logger.error("{} {} failed", ctx.method(), ctx.path(), e)
            if (!ctx.res().isCommitted) ctx.problem(RelayError(ErrorKind.INTERNAL))
        }
    }

    /** Bound port; the system chooses it when the configured port is 0. */
    public val port: Int get() = javalin.port()

    /** Opens the port; throws [IOException] when it cannot be opened. */
    public fun start() {
        try {
            javalin.start()
        } catch (e: JavalinException) {
            throw IOException("$bindAddress:$bindPort cannot be opened: ${e.message}", e)
        }
    }

    /** Refuses new requests with 503, waits a limited time for those in progress, and closes all connections. */
    public fun stop() {
        try {
            javalin.stop()
        } catch (e: JavalinException) {
            logger.warn("{}:{} stopped with requests in progress: {}", bindAddress, bindPort, e.message)
        }
    }

    private fun configureHttp(http: HttpConfiguration) {
        http.sendServerVersion = false
        http.requestHeaderSize = MAX_HEADER_BYTES
        http.idleTimeout = idleTimeoutMs
    }

    private companion object {
        private const val MAX_CONNECTIONS = 20_000
        private const val MIN_THREADS = 4
        private const val ACCEPTOR_THREADS = 1
        private const val SELECTOR_THREADS = 2
        private const val NOT_FOUND = 404
        private const val MAX_HEADER_BYTES = 16_384

        /** Longer than a command of an operator may take at a state host. */
        private const val STOP_TIMEOUT_MS = 1_000L

        /** Time for which a stop keeps a connection without a request. */
        private const val STOP_IDLE_TIMEOUT_MS = 100L
    }
}
