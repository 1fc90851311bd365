package org.arbutusrelay.core.consensus

/** Leader lease, derived from heartbeat rounds and their acknowledgements. */
internal class LeaderLease(private val config: ConsensusConfig) {
    private val rounds = ArrayDeque<Pair<Long, Long>>()
    private val acknowledgedMs = HashMap<String, Long>()
    var round = 0L
        private set

    /** True after a leadership transfer was requested; the lease is not held again in this term. */
    var isReleased = false
        private set

    fun startTerm() {
        rounds.clear()
        acknowledgedMs.clear()
        isReleased = false
    }

    fun release() {
        isReleased = true
    }

    fun startRound(nowMs: Long) {
        round++
        rounds += round to nowMs
        while (rounds.first().second < nowMs - config.electionTimeoutMaxMs) rounds.removeFirst()
    }

    fun onReply(from: String, round: Long) {
        val roundSentMs = rounds.firstOrNull { it.first == round }?.second ?: return
        acknowledgedMs.merge(from, roundSentMs, ::maxOf)
    }

    /** Expiry of the lease. It is counted from the send time, because voters start to refuse votes no earlier. */
    fun validUntilMs(voters: List<String>, nowMs: Long): Long =
        quorumSentMs(voters, nowMs) + config.leaseMs * (100 - config.driftPercent) / 100

    /** Send time of the latest round that a majority has acknowledged. */
    fun quorumSentMs(voters: List<String>, nowMs: Long): Long {
        val sendTimesMs = voters.map { if (it == config.self) nowMs else acknowledgedMs[it] ?: NEVER_MS }
        return sendTimesMs.sortedDescending().getOrElse(voters.size / 2) { NEVER_MS }
    }

    companion object {
        /** Distant past; leaves room to add durations without overflow. */
        const val NEVER_MS = Long.MIN_VALUE / 4
    }
}
