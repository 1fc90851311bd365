package org.arbutusrelay.core.route

import org.arbutusrelay.schema.message.HomeRequests
import java.util.IdentityHashMap
import java.util.concurrent.atomic.LongAdder

/**
 * Counts the requests of callers on those of [routes] that have homes, by name and homes.
 *
 * The counters are created once, so that a request only increments one of them. Thread-safe.
 */
public class HomeRequestCounters(routes: List<Route>) {
    private val byHomes: Map<Key, LongAdder> =
        routes.filter { it.homeRegions.isNotEmpty() }.map(::keyOf).toSet().associateWith { LongAdder() }
    private val byRoute = IdentityHashMap<Route, LongAdder>().apply {
        routes.forEach { route -> byHomes[keyOf(route)]?.let { put(route, it) } }
    }

    /** Counts a request on [route]; a route without homes is ignored. */
    public fun record(route: Route) {
        byRoute[route]?.increment()
    }

    /** Returns the requests since the last call. */
    public fun take(): List<HomeRequests> = byHomes.mapNotNull { (key, counter) ->
        val requests = counter.sumThenReset()
        if (requests > 0) HomeRequests(key.authority, key.homeRegions, requests) else null
    }

    private fun keyOf(route: Route) = Key(route.authority.lowercase(), route.homeRegions.distinct().sorted())

    private data class Key(val authority: String, val homeRegions: List<String>)
}
