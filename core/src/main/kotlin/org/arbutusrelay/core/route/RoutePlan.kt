package org.arbutusrelay.core.route

/** A service as the operator's document describes it. */
public data class RoutedService(
    val name: String,
    /** Requests a second that a cold backend server tolerates; 0 when it tolerates any number. */
    val coldRatePerSecond: Double = 0.0,
    /** Connections that a backend server accepts from all hosts together. */
    val maxConnections: Int = Int.MAX_VALUE,
    /** Tokens that a backend server keeps in its prefix cache; 0 for plain services. */
    val cacheTokens: Long = 0,
)

/** What one caller may send, and how long it may take. */
public data class IngressLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)

/** All routes and services of one operator's document. */
public data class RoutePlan(
    /** Number of the document. */
    val number: Long,
    val routes: List<Route>,
    val services: Map<String, RoutedService>,
    val limits: IngressLimits = IngressLimits(),
) {
    /** Returns what is wrong with the plan, one line each; empty when it is valid. */
    public fun problems(): List<String> = buildList {
        val seen = HashSet<Pair<String, String>>()
        for (route in routes) {
            if (!seen.add(route.authority to route.pathPrefix)) {
                add("route ${route.name}: another route has ${route.authority}${route.pathPrefix}")
            }
            if (!isPrefix(route.pathPrefix)) {
                add("route ${route.name}: prefix ${route.pathPrefix} needs slashes around it")
            }
            if (route.timeoutMs <= 0) add("route ${route.name}: the timeout is 0")
            if (route.maxAttempts < 1) add("route ${route.name}: the number of attempts is 0")
            if (route.targets.any { it.weight < 0 } || route.totalWeight <= 0) {
                add("route ${route.name}: the weights add up to 0")
            }
            route.targets.filter { it.serviceName !in services }.forEach {
                add("route ${route.name}: service ${it.serviceName} does not exist")
            }
        }
    }

    private fun isPrefix(prefix: String) = prefix.startsWith('/') && prefix.endsWith('/')
}
