package org.arbutusrelay.core.consensus

/**
 * The candidate whose election this replica does not disturb for a time, after it granted it a pre-vote or a vote.
 *
 * Without it, another replica starts the next election while votes are on their way through slow disks and links, and
 * takes them from the candidate that was about to win. The time grows with the number of elections without a leader,
 * and with the time that syncs take.
 */
internal class ElectionHold(private val state: NodeState) {
    private var candidate: String? = null
    private var sinceMs = 0L

    /** A candidate that only asks again does not extend the time: it may be unable to receive the replies. */
    fun onPreVote(from: String) {
        if (from != candidate) onVote(from)
    }

    fun onVote(from: String) {
        candidate = from
        sinceMs = state.nowMs
    }

    /** Returns true while a pre-vote for [from] could end the election of another candidate. */
    fun isForOther(from: String): Boolean =
        candidate != null && candidate != from && sinceMs >= state.leaderContactMs && state.nowMs - sinceMs < lengthMs()

    private fun lengthMs(): Long =
        state.config.electionTimeoutMinMs * (state.term - state.leaderTerm).coerceIn(1, MAX_LENGTH_FACTOR) +
            state.voteSyncMs

    private companion object {
        /** Bounds the time for which a candidate that has stopped keeps others from an election. */
        const val MAX_LENGTH_FACTOR = 3L
    }
}
