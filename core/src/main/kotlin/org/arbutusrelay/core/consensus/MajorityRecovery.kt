package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoterChange

/** An operator's statement that the disk of a voter is lost for good, made for one term of the survivor. */
public data class LostVoter(public val identity: String, public val term: Long)

/** Why a lost voter was not removed. */
public enum class RecoveryRefusal {
    /** The survivor is in another term; so a statement is applied at most once. */
    OTHER_TERM,

    /** The voters in force are not exactly the survivor and the lost voter. */
    OTHER_VOTERS,

    /** The set of voters is not known to be committed, so the lost voter may have committed entries alone. */
    VOTERS_NOT_COMMITTED,

    /** The survivor leads or follows a leader, or has heard the lost voter within the quiet time. */
    STILL_HEARD,
}

/**
 * Removes the lost one of two voters without a majority.
 *
 * Two voters commit only what both have synced, so the survivor holds every committed entry. The removal is an entry of
 * a new term that only the survivor can have voted in. A lost voter that comes back with its disk after all has an
 * older last term and cannot win the survivor's vote.
 */
internal class MajorityRecovery(private val state: NodeState) {
    private val heardMs = HashMap<String, Long>()
    private val startMs = state.nowMs

    fun onMessage(from: String) {
        if (from in state.log.voters) heardMs[from] = state.nowMs
    }

    /** Removes [lost], or returns why not. */
    fun remove(lost: LostVoter): RecoveryRefusal? {
        val refusal = refusal(lost)
        if (refusal != null) return refusal
        state.vote(state.term + 1, state.config.self)
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

        state.leader != null || quietMs(lost.identity) < state.config.recoveryQuietMs -> RecoveryRefusal.STILL_HEARD

        else -> null
    }

    private fun quietMs(identity: String): Long = state.nowMs - maxOf(startMs, heardMs[identity] ?: startMs)
}
