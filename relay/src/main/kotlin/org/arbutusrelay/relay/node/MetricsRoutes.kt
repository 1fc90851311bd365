package org.arbutusrelay.relay.node

import io.javalin.config.RoutesConfig
import org.arbutusrelay.daemon.http.RouteGroup
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Serves all meters in the text format of Prometheus, on a port that only the deployment's own network reaches. */
internal class MetricsRoutes(private val metrics: RelayMetrics) : RouteGroup {
    override fun addTo(routes: RoutesConfig) {
        routes.get("/metrics") { ctx ->
            ctx.contentType("text/plain; version=0.0.4; charset=utf-8").result(metrics.scrape())
        }
    }
}
