package org.arbutusrelay.daemon.http

import io.javalin.config.RoutesConfig

/** A group of related HTTP routes. */
public fun interface RouteGroup {
    /** Registers the routes of this group. */
    public fun addTo(routes: RoutesConfig)
}
