package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.membership.Rendezvous

/**
 * Selects the state hosts that an entry host reports to and dials.
 *
 * An entry host reports to a majority of the state hosts. With fewer, all of them could be in the minority partition of
 * the state hosts, which receives no new document, although the entry host itself reaches both partitions. While
 * announcements are missing it reports to all: servers may announce themselves to the partition that it does not hear.
 */
internal class StateHostSelector(private val selfName: String, private val region: String) {
    /**
     * Returns the state hosts in order of preference: those of the own region first.
     *
     * [regionsByName] maps state hosts to regions; the region of a seed is empty until its host state is received.
     */
    fun rank(regionsByName: Map<String, String>): List<String> {
        val byRendezvous = Rendezvous.rank(selfName, regionsByName.keys)
        return byRendezvous.sortedBy { if (regionsByName[it] == region) 0 else 1 }
    }

    /** Returns the connected state hosts to report to: a majority in the order of [ranked], or all if [isAllWanted]. */
    fun reportTargets(ranked: List<String>, connected: Set<String>, isAllWanted: Boolean): List<String> =
        ranked.filter { it in connected }.take(if (isAllWanted) ranked.size else majorityOf(ranked))

    /** Returns the next state host to dial, or null; dials while a majority or a preferred host is not connected. */
    fun nextToDial(
        ranked: List<String>,
        connected: Set<String>,
        dialled: Set<String>,
        isAllWanted: Boolean,
    ): String? {
        if (isAllWanted) return ranked.firstOrNull { it !in dialled }
        val preferred = ranked.take(majorityOf(ranked))
        if (preferred.all { it in connected }) return null
        val candidate = ranked.firstOrNull { it !in dialled } ?: return null
        return candidate.takeIf { it in preferred || reportTargets(ranked, connected, false).size < preferred.size }
    }

    private fun majorityOf(ranked: List<String>) = ranked.size / 2 + 1
}
