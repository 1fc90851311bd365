package org.arbutusrelay.core.site

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.schema.message.HostState
import kotlin.math.roundToInt

/**
 * Repeats hosts in a list according to their capacity, so that callers that choose uniformly among its entries use each
 * host in proportion to it.
 *
 * Each host stays in the list, so that a change of a capacity moves no connection, and callers that share one address
 * do not starve the hosts that a list of their own would leave out.
 */
internal object WeightedAddresses {
    /** Most entries of the weakest host; the hosts of one known deployment are in a ratio of 3 to 10. */
    private const val MAX_WEAKEST_ENTRIES = 3.0

    /** Ratio of successive scales that are tried. */
    private const val SCALE_STEP = 0.9

    /**
     * Differences between the shares of two hosts that do not matter.
     *
     * A longer list is used only for a gain beyond this, since responses cross zones. Shares are to be within a factor
     * of 1.5.
     */
    private const val TOLERANCE = 0.15

    /** Returns at most [maxEntries] entries of [hosts], or null if the hosts have equal or unknown capacities. */
    fun repeat(hosts: List<HostState>, key: String, maxEntries: Int): List<HostState>? {
        if (hosts.isEmpty() || !HostCapacity.isKnown(hosts)) return null
        val weakest = hosts.minOf { it.capacityMillis }
        if (hosts.all { it.capacityMillis == weakest }) return null
        val ratios = hosts.map { it.capacityMillis.toDouble() / weakest }
        return if (hosts.size <= maxEntries) fit(hosts, ratios, maxEntries) else sample(hosts, ratios, key, maxEntries)
    }

    /** Returns each host at least once, and strong ones as often as fits. */
    private fun fit(hosts: List<HostState>, ratios: List<Double>, maxEntries: Int): List<HostState> {
        val bounded = ratios.map { it.coerceAtMost(maxEntries.toDouble()) }
        val candidates = generateSequence(MAX_WEAKEST_ENTRIES) { it * SCALE_STEP }.takeWhile { it * maxEntries > 1 }
            .map { scale -> bounded.map { (it * scale).roundToInt().coerceAtLeast(1) } }
            .plusElement(List(hosts.size) { 1 })
        val entries = candidates.filter { it.sum() <= maxEntries }
            .minWith(compareBy({ (unfairness(it, bounded) / TOLERANCE).toInt() }, { it.sum() }))
        return rounds(hosts, entries).map { it.first }
    }

    /** Returns how much larger the share of one host may be than that of another, relative to their capacities. */
    private fun unfairness(entries: List<Int>, ratios: List<Double>): Double {
        val parts = entries.indices.map { entries[it] / ratios[it] }
        return parts.max() / parts.min() - 1
    }

    /** Selects among the entries of more hosts than fit, by rendezvous hashing with [key]. */
    private fun sample(
        hosts: List<HostState>,
        ratios: List<Double>,
        key: String,
        maxEntries: Int,
    ): List<HostState> {
        val entries = ratios.map { it.coerceAtMost(maxEntries.toDouble()).roundToInt() }
        val byName = rounds(hosts, entries).associate { (host, round) -> "${host.callerAddress}#$round" to host }
        return Rendezvous.rank(key, byName.keys).take(maxEntries).mapNotNull(byName::get)
    }

    /** Returns all hosts, then those with two entries, and so on, each with the number of the entry. */
    private fun rounds(hosts: List<HostState>, entries: List<Int>): List<Pair<HostState, Int>> =
        (1..entries.max()).flatMap { round ->
            hosts.indices.filter { entries[it] >= round }.map { hosts[it] to round }
        }
}
