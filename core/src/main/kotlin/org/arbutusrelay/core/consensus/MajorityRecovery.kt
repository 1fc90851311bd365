package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoterChange

/** Operator's declaration that the disk of a voter is permanently lost; valid in one [term] of the surviving voter. */
public data class LostVoter(public val identity: String, public val term: Long)

/** Reason why a lost voter was not removed. */
public enum class RecoveryRefusal {
    /** The surviving voter is in another term. A removal raises the term, so a declaration is applied at most once. */
    OTHER_TERM,

    /** The voter set is not exactly the surviving voter and the lost voter. */
    OTHER_VOTERS,

    /** The voter set may be uncommitted, so the lost voter may have committed entries alone. */
    VOTERS_NOT_COMMITTED,

    /**
     * The surviving voter has a leader, or has received a message from the lost voter within
     * [ConsensusConfig.recoveryQuietMs].
     */
    STILL_HEARD,
}

/**
 * Removes a permanently lost voter from a group of two voters, which has no majority without it.
 *
 * Two voters commit only entries that both have synced, so the surviving voter has every committed entry. The removal
 * is an entry of a new term in which only the surviving voter can have voted. If the removed voter returns with its
 * disk, its last log term is lower, so the surviving voter does not vote for it.
 */
internal class MajorityRecovery(private val state: NodeState) {
    private val lastMessageMs = HashMap<String, Long>()
    private val startMs = state.nowMs

    fun onMessage(from: String) {
        if (from in state.log.voters) lastMessageMs[from] = state.nowMs
    }

    /** Removes [lost], or returns the reason for the refusal. */
    fun remove(lost: LostVoter): RecoveryRefusal? {
        val refusal = refusal(lost)
        if (refusal != null) return refusal
        state.recordVote(state.term + 1, state.config.self)
        state.changeRole(ConsensusRole.FOLLOWER, null)
        val change = ReplicatedCommand(voterChange = VoterChange(listOf(state.config.self)))
        state.append(LogEntry(state.log.lastIndex + 1, state.term, change))
        return null
    }

    private fun refusal(lost: LostVoter): RecoveryRefusal? = when {
        lost.term != state.term -> RecoveryRefusal.OTHER_TERM

        state.log.voters.size != 2 || state.log.voters.toSet() != setOf(state.config.self, lost.identity) ->
            RecoveryRefusal.OTHER_VOTERS

        state.log.votersIndex > state.commitIndex -> RecoveryRefusal.VOTERS_NOT_COMMITTED

        state.leader != null || silenceMs(lost.identity) < state.config.recoveryQuietMs -> RecoveryRefusal.STILL_HEARD

        else -> null
    }

    private fun silenceMs(identity: String): Long = state.nowMs - maxOf(startMs, lastMessageMs[identity] ?: startMs)
}
