package org.arbutusrelay.core.site

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RoutePlan

/** Regions other than its own to which a caller that asks for a name may be directed. */
public sealed interface NameHomes {
    /** All regions: no route of the name has homes. */
    public data object Any : NameHomes

    /**
     * The regions that are homes of all routes with homes on the name, possibly none.
     *
     * A caller asks for the name before it sends a request, so that the path, and with it the route, is not known.
     */
    public data class Only(val regions: Set<String>) : NameHomes

    /** No region: the homes are not known, because the name has no route here or there is no document yet. */
    public data object Unknown : NameHomes
}

/** Finds the homes of the names in [plan]; immutable, and empty without a plan. */
public class NameHomesTable(plan: RoutePlan?) {
    private val homesByName: Map<String, NameHomes> =
        plan?.routes.orEmpty().groupBy { it.authority.lowercase() }.mapValues { (_, routes) -> homesOf(routes) }

    /** Returns the homes of [name], which may be in any letter case and may end with a port. */
    public fun find(name: String): NameHomes = homesByName[name.substringBefore(':').lowercase()] ?: NameHomes.Unknown

    private fun homesOf(routes: List<Route>): NameHomes {
        val restricted = routes.filter { it.homeRegions.isNotEmpty() }.map { it.homeRegions.toSet() }
        return if (restricted.isEmpty()) NameHomes.Any else NameHomes.Only(restricted.reduce(Set<String>::intersect))
    }
}
