package org.arbutusrelay.core.site

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RoutePlan

/** Regions other than its own to which a caller that asks for a name may be directed. */
public sealed interface NameHomes {
    /** All regions: no route of the name has homes. */
    public data object Any : NameHomes

    /**
     * The regions that are homes of all routes with homes on the name, possibly none; see also [withTraffic].
     *
     * A caller asks for the name before it sends a request, so that the path, and with it the route, is not known.
     */
    public data class Only(
        val regions: Set<String>,
        /** The different sets of homes that routes of the name have. */
        val routeHomes: Set<Set<String>>,
    ) : NameHomes {
        /**
         * Adds to [regions] those that are homes of nearly all requests, by the recent [requests] for the routes with
         * each set of homes.
         *
         * Without it, a route that is hardly used keeps the callers of all others from every region but its home.
         */
        public fun withTraffic(requests: Map<Set<String>, Long>): Only {
            val counted = routeHomes.associateWith { requests[it] ?: 0 }
            val total = counted.values.sum()
            if (total < MIN_REQUESTS) return this
            val added = routeHomes.flatten().filter { region ->
                val outside = counted.filterKeys { region !in it }.values.sum()
                outside * MIN_REQUESTS_PER_OUTSIDE <= total
            }
            return copy(regions = regions + added)
        }

        private companion object {
            /** Fewer requests do not show the shares of the routes. */
            const val MIN_REQUESTS = 100L

            /** Under half of the 1 in 20 requests that may be led outside their homes, as shares change. */
            const val MIN_REQUESTS_PER_OUTSIDE = 50L
        }
    }

    /** No region: the homes are not known, because the name has no route here or there is no document yet. */
    public data object Unknown : NameHomes
}

/** Finds the homes of the names in [plan]; immutable, and empty without a plan. */
public class NameHomesTable(plan: RoutePlan?) {
    private val homesByName: Map<String, NameHomes> =
        plan?.routes.orEmpty().groupBy { it.authority.lowercase() }.mapValues { (_, routes) -> homesOf(routes) }

    /** Returns the homes of [name], which may be in any letter case and may end with a port. */
    public fun find(name: String): NameHomes = homesByName[directoryName(name)] ?: NameHomes.Unknown

    private fun homesOf(routes: List<Route>): NameHomes {
        val restricted = routes.filter { it.homeRegions.isNotEmpty() }.mapTo(HashSet()) { it.homeRegions.toSet() }
        if (restricted.isEmpty()) return NameHomes.Any
        return NameHomes.Only(restricted.reduce(Set<String>::intersect), restricted)
    }
}

/** Returns [name] as the routes of a document are found by it: without a port, in lower case. */
internal fun directoryName(name: String): String = name.substringBefore(':').lowercase()
