package org.arbutusrelay.core.route

import org.arbutusrelay.core.tenancy.TenantTable

/** Finds the route of a request. The table is immutable; a new plan replaces it as a whole. */
public class RouteTable(public val plan: RoutePlan) {
    /** Requests of callers on the routes with homes, for the directory. */
    public val homeRequests: HomeRequestCounters = HomeRequestCounters(plan.routes)

    /** Tenants of the document; null if it has none. */
    public val tenants: TenantTable? = plan.tenants.takeIf { it.isNotEmpty() }?.let(::TenantTable)

    private val routesByAuthority: Map<String, Map<String, Route>> =
        plan.routes.groupBy {
            it.authority.lowercase()
        }.mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }

    /** Returns the route of [authority] with the longest prefix that matches [path], or null. */
    public fun find(authority: String, path: String): Route? {
        val routes = routesByAuthority[authority.lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}
