package org.arbutusrelay.daemon.node

import org.arbutusrelay.schema.settings.DaemonSettings

/** State hosts configured in the settings of a daemon, including this host if it is one. */
internal class StateHosts(private val settings: DaemonSettings) {
    /** True if this host is a state host, which stores replicated state. */
    val includesSelf: Boolean = settings.dataFolder != null

    private val byRegion: Map<String, Set<String>> =
        (settings.peers.filter { it.isStateHost }.map { it.region to it.hostName } + localHost())
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }

    /** Returns the state hosts of [region]. */
    fun inRegion(region: String): Set<String> = byRegion[region].orEmpty()

    /** Returns the state hosts of all regions except [region]. */
    fun outsideRegion(region: String): Set<String> = byRegion.filterKeys { it != region }.values.flatten().toSet()

    private fun localHost(): List<Pair<String, String>> =
        if (includesSelf) listOf(settings.region to settings.hostName) else emptyList()
}
