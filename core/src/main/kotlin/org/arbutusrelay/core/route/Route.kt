package org.arbutusrelay.core.route

/** How often one request of a route may run. */
public enum class RouteKind {
    /** The request may run any number of times. */
    IDEMPOTENT,

    /** The request may run once. */
    AT_MOST_ONCE,

    /** The response is a stream of events; the request may run again only where the route is resumable. */
    STREAM,
}

/** A service of a route with its share of the requests. */
public data class RouteTarget(val serviceName: String, val weight: Int)

/**
 * Sends the requests of one HTTP authority below one path prefix to services.
 *
 * Source: the operator's document; see [RoutePlan].
 */
public data class Route(
    val name: String,
    /** Value of the `Host` header that the route belongs to. */
    val authority: String,
    /** Begins and ends with a slash. */
    val pathPrefix: String,
    val kind: RouteKind,
    /** Longest time until the response is complete, in milliseconds. */
    val timeoutMs: Long,
    /** Time until the response, or the first event of a stream, that earns full credit, in milliseconds. */
    val targetLatencyMs: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    val targets: List<RouteTarget>,
    /** Backend servers that one request may be sent to. */
    val maxAttempts: Int,
    /** True when a stream that broke off may continue on another backend server. */
    val isResumable: Boolean,
    /** Regions that may run and store the requests; empty when all may. */
    val homeRegions: List<String>,
) {
    /** True when the request may reach a second backend server after the first may have run it. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)

    /**
     * Returns the service for a request.
     *
     * [draw] is uniform in 0 until the sum of the weights.
     */
    public fun serviceFor(draw: Int): String {
        var rest = draw
        for (target in targets) {
            rest -= target.weight
            if (rest < 0) return target.serviceName
        }
        return targets.last { it.weight > 0 }.serviceName
    }

    /** Sum of the weights of all targets. */
    val totalWeight: Int get() = targets.sumOf { it.weight }
}
