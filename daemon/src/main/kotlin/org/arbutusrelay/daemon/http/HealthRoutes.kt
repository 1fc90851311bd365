package org.arbutusrelay.daemon.http

import io.javalin.config.RoutesConfig
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.observe.RelayMetrics

/** HTTP routes for health and metrics; `/healthz` and `/readyz` require no token, because probes send none. */
public class HealthRoutes(
    private val operatorToken: String,
    private val metrics: RelayMetrics,
    private val isReady: () -> Boolean,
) : RouteGroup {
    override fun addTo(routes: RoutesConfig) {
        routes.get("/healthz") { ctx -> ctx.result("ok\n") }
        routes.get("/readyz") { ctx ->
            if (isReady()) ctx.result("ready\n") else ctx.problem(RelayError(ErrorKind.NOT_READY))
        }
        routes.get("/metrics") { ctx ->
            ctx.requireToken(operatorToken).fold({ ctx.problem(it) }) {
                ctx.contentType(RelayMetrics.CONTENT_TYPE).result(metrics.scrape())
            }
        }
    }
}
