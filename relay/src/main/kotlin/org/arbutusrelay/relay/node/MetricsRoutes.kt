package org.arbutusrelay.relay.node

import io.javalin.config.RoutesConfig
import org.arbutusrelay.daemon.http.RouteGroup
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Serves all meters in the text format of Prometheus, on a port that only the deployment's own network reaches. */
internal class MetricsRoutes(private val metrics: RelayMetrics) : RouteGroup {
    override fun addTo(routes: RoutesConfig) {
        routes.get("/metrics") { ctx -> ctx.contentType(RelayMetrics.CONTENT_TYPE).result(metrics.scrape()) }
    }
}
