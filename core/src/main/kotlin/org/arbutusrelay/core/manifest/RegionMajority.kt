package org.arbutusrelay.core.manifest

/**
 * Which manifest numbers the state hosts of a region have synced.
 *
 * A manifest may be offered once a majority has synced it. A starting process may serve once a majority has answered:
 * the two majorities share a state host, which names every manifest that the process may have served before.
 */
internal class RegionMajority(private val selfName: String, private val stateHosts: Set<String>) {
    private val synced = HashMap<String, Long>()
    private val answers = HashMap<String, Long>()
    private val recovering = HashSet<String>()

    private val majority = stateHosts.size / 2 + 1

    /** Highest number that a majority has synced; 0 when there is none. */
    val offerable: Long
        get() = synced.values.sortedDescending().getOrElse(majority - 1) { 0 }

    /** Number that a starting process must reach before it serves, or null while a majority has not answered. */
    val startNumber: Long? get() = if (answers.size >= majority) answers.values.max() else null

    fun noteSynced(hostName: String, number: Long) {
        if (hostName in stateHosts) synced.merge(hostName, number, ::maxOf)
    }

    /** Notes an answer; one of a state host that does not know what it lost counts for nothing. */
    fun noteAnswer(hostName: String, syncedNumber: Long, isRecovering: Boolean) {
        if (hostName !in stateHosts) return
        if (isRecovering) {
            recovering += hostName
        } else {
            recovering -= hostName
            answers.merge(hostName, syncedNumber, ::maxOf)
        }
        noteSynced(hostName, syncedNumber)
    }

    /**
     * Returns the number that a state host without a stored manifest must reach before it answers others, or null.
     *
     * It needs a majority apart from itself, as far as there are so many. In a new region all others are empty too.
     */
    fun recoveryNumber(): Long? {
        val others = stateHosts.size - 1
        val isNewRegion = (recovering + answers.keys - selfName).size == others && answers.values.all { it == 0L }
        val known = answers.filterKeys { it != selfName }
        return if (isNewRegion || known.size >= minOf(majority, others)) known.values.maxOrNull() ?: 0 else null
    }
}
