package org.arbutusrelay.daemon.node

import org.arbutusrelay.schema.settings.DaemonSettings

/** The state hosts that the settings of a daemon name, this host included. */
internal class StateHosts(private val settings: DaemonSettings) {
    /** True when this host keeps replicated state. */
    val isSelf: Boolean = settings.dataFolder != null

    private val byRegion: Map<String, Set<String>> =
        (settings.peers.filter { it.isStateHost }.map { it.region to it.hostName } + self())
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }

    /** Returns the state hosts of [region]. */
    fun of(region: String): Set<String> = byRegion[region].orEmpty()

    /** Returns the state hosts of all regions but [region]. */
    fun outside(region: String): Set<String> = byRegion.filterKeys { it != region }.values.flatten().toSet()

    private fun self(): List<Pair<String, String>> =
        if (isSelf) listOf(settings.region to settings.hostName) else emptyList()
}
