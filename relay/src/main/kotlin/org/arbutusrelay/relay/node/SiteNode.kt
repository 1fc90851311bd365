package org.arbutusrelay.relay.node

import org.arbutusrelay.schema.settings.SiteSettings

/** A process of a site: an entry host or a state host. */
public interface SiteNode {
    /** Starts all parts; throws [java.io.IOException] when a port or a file cannot be opened. */
    public suspend fun start()

    /** Takes over settings that changed while the process runs. */
    public fun reload(settings: SiteSettings)

    /** Stops gracefully, within the time that the settings grant. */
    public suspend fun stop()
}
