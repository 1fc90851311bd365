package org.arbutusrelay.standin.http

import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Starts an HTTP server on the loopback address; port 0 selects a free one. */
internal fun httpServer(port: Int, routes: RoutesConfig.() -> Unit): Javalin = Javalin.create { config ->
    config.startup.showJavalinBanner = false
    config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS).apply { name = "stand-in-http" }
    config.routes.routes()
}.start("127.0.0.1", port)

/** Closes the connection of a request without completing its response. */
internal fun Context.abortConnection() {
    ServletContextRequest.getServletContextRequest(req()).connectionMetaData.connection.endPoint.close()
}

private const val MAX_THREADS = 400
private const val MIN_THREADS = 4
