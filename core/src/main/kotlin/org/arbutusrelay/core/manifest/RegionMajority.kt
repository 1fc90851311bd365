package org.arbutusrelay.core.manifest

/**
 * Tracks the manifest numbers that the state hosts of a region have synced.
 *
 * A manifest may be offered once a majority has synced it. A starting process may serve once a majority has answered:
 * the two majorities overlap in a state host, which reports every manifest that the process may have served before.
 */
internal class RegionMajority(private val selfName: String, private val stateHosts: Set<String>) {
    private val syncedNumbers = HashMap<String, Long>()
    private val answers = HashMap<String, Long>()
    private val recovering = HashSet<String>()

    private val majority = stateHosts.size / 2 + 1

    /** Highest number that a majority has synced; 0 when there is none. */
    val offerableNumber: Long
        get() = syncedNumbers.values.sortedDescending().getOrElse(majority - 1) { 0 }

    /** Number that a starting process must reach before it serves, or null until a majority has answered. */
    val startNumber: Long? get() = if (answers.size >= majority) answers.values.max() else null

    fun recordSynced(hostName: String, number: Long) {
        if (hostName in stateHosts) syncedNumbers.merge(hostName, number, ::maxOf)
    }

    /** Records an answer; answers of a recovering state host, which may have lost records, do not count. */
    fun recordAnswer(hostName: String, syncedNumber: Long, isRecovering: Boolean) {
        if (hostName !in stateHosts) return
        if (isRecovering) {
            recovering += hostName
        } else {
            recovering -= hostName
            answers.merge(hostName, syncedNumber, ::maxOf)
        }
        recordSynced(hostName, syncedNumber)
    }

    /**
     * Returns the number that a state host without a stored manifest must reach before it answers others, or null.
     *
     * It requires answers from a majority that excludes itself, or from all others if these are fewer. In a new region
     * all others are empty too.
     */
    fun recoveryNumber(): Long? {
        val others = stateHosts.size - 1
        val isNewRegion = (recovering + answers.keys - selfName).size == others && answers.values.all { it == 0L }
        val received = answers.filterKeys { it != selfName }
        return if (isNewRegion || received.size >= minOf(majority, others)) received.values.maxOrNull() ?: 0 else null
    }
}
