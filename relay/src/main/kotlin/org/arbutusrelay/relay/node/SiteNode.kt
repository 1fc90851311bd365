package org.arbutusrelay.relay.node

import org.arbutusrelay.schema.settings.SiteSettings

/** A node process of a site: an entry host or a state host. */
public interface SiteNode {
    /** Starts the node; throws [java.io.IOException] when a port or a file cannot be opened. */
    public suspend fun start()

    /** Applies settings that changed at runtime. */
    public fun reload(settings: SiteSettings)

    /** Stops gracefully within the grace period of the settings. */
    public suspend fun stop()
}
