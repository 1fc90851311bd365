package org.arbutusrelay.daemon.site

import org.arbutusrelay.daemon.link.LinkNetwork

/** Opens the links of a host to state hosts. */
internal class StateHostLinks(
    private val network: LinkNetwork,
    private val linkPort: Int,
    private val selector: StateHostSelector,
    private val isStateHost: Boolean,
) {
    private val dialledHosts = HashSet<String>()

    @Volatile
    private var ranking = Ranking(emptyMap(), emptyList())

    /**
     * Dials the state hosts of which a link is wanted; the network keeps a dialled link open.
     *
     * [regionsByName] maps the other state hosts to their regions. A state host dials all of them, an entry host as
     * many as [StateHostSelector] wants.
     */
    fun maintain(regionsByName: Map<String, String>, isAllWanted: Boolean) {
        if (isStateHost) return regionsByName.keys.forEach(::dial)
        val ranked = rank(regionsByName)
        selector.nextToDial(ranked, network.connected().keys, dialledHosts, isAllWanted)?.let(::dial)
    }

    /** Returns the state hosts that an entry host reports to. */
    fun reportTargets(regionsByName: Map<String, String>, isAllWanted: Boolean): List<String> =
        selector.reportTargets(rank(regionsByName), network.connected().keys, isAllWanted)

    private fun rank(regionsByName: Map<String, String>): List<String> {
        val latest = ranking
        if (latest.regionsByName == regionsByName) return latest.ranked
        return selector.rank(regionsByName).also { ranking = Ranking(regionsByName, it) }
    }

    private fun dial(hostName: String) {
        if (dialledHosts.add(hostName)) network.connect(hostName, "$hostName:$linkPort")
    }

    private class Ranking(val regionsByName: Map<String, String>, val ranked: List<String>)
}
