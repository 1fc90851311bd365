package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.membership.Rendezvous

/**
 * Decides which state hosts an entry host reports to and which it dials.
 *
 * An entry host reports to a majority of the state hosts. While these are cut in two, a smaller set may lie on the side
 * that learns of no new document, although the entry host itself reaches both sides.
 */
internal class StateHostChoice(private val selfName: String, private val region: String) {
    /**
     * Returns the state hosts in the order of preference: those of the own region first.
     *
     * [regionsByName] has the state hosts; the region is empty for a seed of which nothing else is known yet.
     */
    fun rank(regionsByName: Map<String, String>): List<String> {
        val spread = Rendezvous.rank(selfName, regionsByName.keys)
        return spread.sortedBy { if (regionsByName[it] == region) 0 else 1 }
    }

    /** Returns the state hosts to report to: the first ones of [ranked] that are connected. */
    fun active(ranked: List<String>, connected: Set<String>): List<String> =
        ranked.filter { it in connected }.take(majorityOf(ranked))

    /** Returns the next state host to dial while too few are connected, or the better ones are not. */
    fun next(ranked: List<String>, connected: Set<String>, dialled: Set<String>): String? {
        val wanted = ranked.take(majorityOf(ranked))
        if (wanted.all { it in connected }) return null
        val next = ranked.firstOrNull { it !in dialled } ?: return null
        return next.takeIf { it in wanted || active(ranked, connected).size < wanted.size }
    }

    private fun majorityOf(ranked: List<String>) = ranked.size / 2 + 1
}
