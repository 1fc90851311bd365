package org.arbutusrelay.relay.node

import io.javalin.config.RoutesConfig
import org.arbutusrelay.daemon.http.RouteGroup
import org.arbutusrelay.daemon.observe.RelayMetrics

/** Serves all metrics in the Prometheus text format, on a port reachable only from the deployment's own network. */
internal class MetricsRoutes(private val metrics: RelayMetrics) : RouteGroup {
    override fun addTo(routes: RoutesConfig) {
        routes.get("/metrics") { ctx -> ctx.contentType(RelayMetrics.CONTENT_TYPE).result(metrics.scrape()) }
    }
}
