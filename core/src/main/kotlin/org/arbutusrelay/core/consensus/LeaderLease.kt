package org.arbutusrelay.core.consensus

/** Heartbeat rounds and their acknowledgements, from which the leader lease follows. */
internal class LeaderLease(private val config: ConsensusConfig) {
    private val sentMs = ArrayDeque<Pair<Long, Long>>()
    private val acknowledgedMs = HashMap<String, Long>()
    var round = 0L
        private set

    /** True after another voter was asked to take over; the lease is never held again in this term. */
    var isReleased = false
        private set

    fun startTerm() {
        sentMs.clear()
        acknowledgedMs.clear()
        isReleased = false
    }

    fun release() {
        isReleased = true
    }

    fun startRound(nowMs: Long) {
        round++
        sentMs += round to nowMs
        while (sentMs.first().second < nowMs - config.electionTimeoutMaxMs) sentMs.removeFirst()
    }

    fun onReply(from: String, round: Long) {
        val sent = sentMs.firstOrNull { it.first == round }?.second ?: return
        acknowledgedMs.merge(from, sent, ::maxOf)
    }

    /** Time at which the lease ends. The send time counts, because a voter's promise starts no earlier than that. */
    fun heldUntilMs(voters: List<String>, nowMs: Long): Long =
        quorumSentMs(voters, nowMs) + config.leaseMs * (100 - config.driftPercent) / 100

    /** Newest send time that a majority has acknowledged. */
    fun quorumSentMs(voters: List<String>, nowMs: Long): Long {
        val times = voters.map { if (it == config.self) nowMs else acknowledgedMs[it] ?: NEVER_MS }
        return times.sortedDescending().getOrElse(voters.size / 2) { NEVER_MS }
    }

    private companion object {
        /** Far in the past, without overflow when durations are added. */
        const val NEVER_MS = Long.MIN_VALUE / 4
    }
}
