package org.arbutusrelay.daemon.http

import io.javalin.config.RoutesConfig

/** A group of routes that belong together. */
public fun interface RouteGroup {
    /** Adds the routes of this group. */
    public fun addTo(routes: RoutesConfig)
}
