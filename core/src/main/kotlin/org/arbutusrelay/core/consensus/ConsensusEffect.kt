package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry

/** An output of [ConsensusNode.step]; effects are carried out in their order. */
public sealed interface ConsensusEffect {
    /**
     * Writes to disk in the order of the members, and then answers with [ConsensusEvent.Persisted].
     *
     * Writes of several effects may share one sync.
     */
    public data class Persist(
        val id: Long,
        /** Term and vote, or null when unchanged. */
        val vote: TermAndVote?,
        val snapshot: ConsensusSnapshot?,
        /** Entries from this index on are removed. */
        val truncateFrom: Long?,
        /** Entries up to this index may be removed. */
        val trimTo: Long?,
        val entries: List<LogEntry>,
    ) : ConsensusEffect

    /** Sends a message; it may be lost. */
    public data class Send(val message: ConsensusMessage) : ConsensusEffect

    /** Applies committed entries to the state machine. */
    public data class Apply(val entries: List<LogEntry>) : ConsensusEffect

    /** Replaces the state machine's state. */
    public data class Restore(val snapshot: ConsensusSnapshot) : ConsensusEffect

    /** The role, the term or the known leader changed. */
    public data class RoleChange(val role: ConsensusRole, val term: Long, val leader: String?) : ConsensusEffect

    /** Result of [ConsensusEvent.RemoveLostVoter]: null when the voter was removed. */
    public data class Recovered(val lost: LostVoter, val refusal: RecoveryRefusal?) : ConsensusEffect

    /** Result of [ConsensusEvent.Propose]: the index of the first entry and its term, or a refusal. */
    public data class Proposed(val firstIndex: Long, val term: Long, val refusal: ProposalRefusal?) : ConsensusEffect
}

/** The persisted term and the vote given in it. */
public data class TermAndVote(val term: Long, val votedFor: String?)

/** Role of a replica. */
public enum class ConsensusRole { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER }

/** Why nothing was appended. */
public enum class ProposalRefusal { NOT_LEADER, TRANSFER_IN_PROGRESS, VOTER_CHANGE_NOT_ALLOWED }
