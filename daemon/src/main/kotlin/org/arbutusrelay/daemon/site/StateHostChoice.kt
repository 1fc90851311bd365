package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.membership.Rendezvous

/** Decides which state hosts an entry host reports to and which it dials. */
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

    /** Returns the state hosts to report to: the first [ACTIVE] that are connected. */
    fun active(
        ranked: List<String>,
        connected: Set<String>,
    ): List<String> = ranked.filter { it in connected }.take(ACTIVE)

    /** Returns the next state host to dial while too few are connected, or the better ones are not. */
    fun next(ranked: List<String>, connected: Set<String>, dialled: Set<String>): String? {
        val isEnough = ranked.take(ACTIVE).all { it in connected }
        return if (isEnough) {
            null
        } else {
            ranked.filter { it !in dialled }.firstOrNull()
                ?.takeIf { active(ranked, connected).size < ACTIVE || it in ranked.take(ACTIVE) }
        }
    }

    companion object {
        /** One may fail without a pause in what the entry host learns. */
        const val ACTIVE = 2
    }
}
