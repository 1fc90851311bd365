package org.arbutusrelay.core.route

import org.arbutusrelay.core.tenancy.Tenant
import org.arbutusrelay.core.tenancy.TenantTable

/** A service as defined in the operator's document. */
public data class RoutedService(
    val name: String,
    /** Maximum request rate of a cold backend server, per second; 0 if it is unlimited. */
    val coldRatePerSecond: Double = 0.0,
    /** Maximum number of connections to a backend server from all hosts together. */
    val maxConnections: Int = Int.MAX_VALUE,
    /** Capacity of a backend server's prefix cache, in tokens; 0 for plain services. */
    val cacheTokens: Long = 0,
)

/** Size limits and timeouts for the requests of callers. */
public data class IngressLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** The routes, services and limits of one operator's document. */
public data class RoutePlan(
    /** Version number of the document. */
    val number: Long,
    val routes: List<Route>,
    val services: Map<String, RoutedService>,
    val limits: IngressLimits = IngressLimits(),
    /** Tenants whose callers need a key on routes that are not public; empty if callers need none on any route. */
    val tenants: List<Tenant> = emptyList(),
) {
    /** Returns the validation errors of the plan, one line each; empty if it is valid. */
    public fun problems(): List<String> = buildList {
        if (number < 0) add("the number is negative")
        val seenPrefixes = HashSet<Pair<String, String>>()
        for (route in routes) {
            // Host names are matched in any letter case, so that only one of two such routes would be served.
            if (!seenPrefixes.add(route.authority.lowercase() to route.pathPrefix)) {
                add("route ${route.name}: another route has ${route.authority}${route.pathPrefix}")
            }
            if (!isValidPrefix(route.pathPrefix)) {
                add("route ${route.name}: prefix ${route.pathPrefix} needs slashes around it")
            }
            if (route.timeoutMs <= 0) add("route ${route.name}: the timeout is 0")
            if (maxOf(route.timeoutMs, route.targetLatencyMs, route.targetPauseMs) > MAX_TIME_MS) {
                add("route ${route.name}: a time is longer than $MAX_TIME_MS ms")
            }
            if (route.maxAttempts < 1) add("route ${route.name}: the number of attempts is 0")
            if (route.targets.any { it.weight !in 0..MAX_WEIGHT } || route.totalWeight <= 0) {
                add("route ${route.name}: the weights add up to 0, or one is not in 0..$MAX_WEIGHT")
            }
            route.targets.filter { it.serviceName !in services }.forEach {
                add("route ${route.name}: service ${it.serviceName} does not exist")
            }
        }
        addAll(TenantTable.problems(tenants))
        if (maxOf(limits.headerTimeoutMs, limits.idleTimeoutMs) > MAX_TIME_MS) {
            add("limits: a time is longer than $MAX_TIME_MS ms")
        }
    }

    private fun isValidPrefix(prefix: String) = prefix.startsWith('/') && prefix.endsWith('/')

    private companion object {
        /** Times and weights are added up; a day and a million are far above those in use. */
        const val MAX_TIME_MS = 86_400_000L
        const val MAX_WEIGHT = 1_000_000
    }
}
