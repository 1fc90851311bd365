package org.arbutusrelay.core.route

import org.arbutusrelay.core.tenancy.Tenant

/** Whether the requests of a route may be executed more than once. */
public enum class RouteKind {
    /** The request may be executed any number of times. */
    IDEMPOTENT,

    /** The request must not be executed more than once. */
    AT_MOST_ONCE,

    /** The response is an event stream; the request may be executed again only if the route is resumable. */
    STREAM,
}

/** A service that a route sends requests to, with its weight. */
public data class RouteTarget(val serviceName: String, val weight: Int)

/**
 * Maps the requests for one HTTP authority and path prefix to services.
 *
 * Routes are defined in the operator's document; see [RoutePlan].
 */
public data class Route(
    val name: String,
    /** Value of the `Host` header that the route matches. */
    val authority: String,
    /** Starts and ends with a slash. */
    val pathPrefix: String,
    val kind: RouteKind,
    /** Maximum time until the response is complete, in milliseconds. */
    val timeoutMs: Long,
    /** Latency objective for the response, or the first event of a stream, in milliseconds. */
    val targetLatencyMs: Long,
    /** Priority of the requests; 0 is the most urgent. */
    val priority: Int,
    val targets: List<RouteTarget>,
    /** Maximum number of backend servers that may execute one request. */
    val maxAttempts: Int,
    /** True if an interrupted stream may be resumed on another backend server. */
    val isResumable: Boolean,
    /** Regions that may execute and store the requests; empty if every region may. */
    val homeRegions: List<String>,
    /** Longest pause between two events of a stream that is still on time, in milliseconds; 0 if not specified. */
    val targetPauseMs: Long = 0,
    /** True if callers need no key, also where the document has tenants. */
    val isPublic: Boolean = false,
    /** Homes of the tenant whose request uses the route, which bind in addition to [homeRegions]; empty if none do. */
    val tenantHomeRegions: List<String> = emptyList(),
) {
    /** True if the request may be sent to a second backend server after the first may have executed it. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)

    /** Returns true if the requests may run in [region], and their bodies may be sent to hosts there. */
    public fun allowsRegion(region: String): Boolean = (homeRegions.isEmpty() || region in homeRegions) &&
        (tenantHomeRegions.isEmpty() || region in tenantHomeRegions)

    /**
     * Returns the route as it applies to a request of [tenant].
     *
     * The tenant's priority comes first; among requests of tenants with the same priority, that of the route decides.
     */
    public fun forTenant(tenant: Tenant): Route {
        val tenantPriority = tenant.priority ?: return copy(tenantHomeRegions = tenant.homeRegions)
        return copy(
            priority = tenantPriority.coerceAtMost(MAX_TENANT_PRIORITY) * ROUTE_PRIORITIES +
                priority.coerceIn(0, ROUTE_PRIORITIES - 1),
            tenantHomeRegions = tenant.homeRegions,
        )
    }

    /**
     * Selects the service for a request by weight.
     *
     * [draw] is a random number, uniformly distributed from 0 until [totalWeight].
     */
    public fun serviceFor(draw: Int): String {
        var remaining = draw
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.serviceName
        }
        return targets.last { it.weight > 0 }.serviceName
    }

    /** Sum of the weights of all targets. */
    val totalWeight: Int get() = targets.sumOf { it.weight }

    private companion object {
        /** Backend servers distinguish ten priorities, so that three of the route fit within three of the tenant. */
        const val ROUTE_PRIORITIES = 3
        const val MAX_TENANT_PRIORITY = 1_000
    }
}
