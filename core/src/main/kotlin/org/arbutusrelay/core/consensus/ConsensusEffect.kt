package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry

/** An output of [ConsensusNode.step]; the caller must execute effects in order. */
public sealed interface ConsensusEffect {
    /**
     * Writes to disk in the order of the properties; the caller then reports [ConsensusEvent.Persisted].
     *
     * Several effects may share one sync.
     */
    public data class Persist(
        val id: Long,
        /** Term and vote, or null when unchanged. */
        val vote: TermAndVote?,
        val snapshot: ConsensusSnapshot?,
        /** First index of the entries to remove, or null. */
        val truncateFrom: Long?,
        /** Last index of the entries that may be trimmed, or null. */
        val trimTo: Long?,
        val entries: List<LogEntry>,
    ) : ConsensusEffect

    /** Sends a message; delivery is not guaranteed. */
    public data class Send(val message: ConsensusMessage) : ConsensusEffect

    /** Applies committed entries to the state machine. */
    public data class Apply(val entries: List<LogEntry>) : ConsensusEffect

    /** Replaces the state of the state machine. */
    public data class Restore(val snapshot: ConsensusSnapshot) : ConsensusEffect

    /** The role or the known leader has changed; [ended] is set when this replica has stopped leading. */
    public data class RoleChange(
        val role: ConsensusRole,
        val term: Long,
        val leader: String?,
        val ended: LeadershipEnd? = null,
    ) : ConsensusEffect

    /** Result of [ConsensusEvent.RemoveLostVoter]; [refusal] is null when the voter was removed. */
    public data class Recovered(val lost: LostVoter, val refusal: RecoveryRefusal?) : ConsensusEffect

    /** Result of [ConsensusEvent.Propose]; [firstIndex] and [term] identify the first entry unless [refusal] is set. */
    public data class Proposed(val firstIndex: Long, val term: Long, val refusal: ProposalRefusal?) : ConsensusEffect
}

/** Persisted term and the candidate that this replica voted for in it. */
public data class TermAndVote(val term: Long, val votedFor: String?)

/** End of the leadership of a replica in [term]. */
public data class LeadershipEnd(val term: Long, val cause: LeadershipEndCause)

/** Reason why a replica stops leading. */
public enum class LeadershipEndCause {
    /** No majority of the voters has replied for the longest election timeout. */
    NO_MAJORITY,

    /** Another replica has begun a newer term. */
    NEWER_TERM,

    /** The leader has released its lease to hand over to another voter. */
    HANDED_OVER,

    /** The replica was removed from the voters. */
    REMOVED,
    ;

    /** Name in log lines, such as `no_majority`. */
    public val id: String = name.lowercase()
}

/** Role of a replica in the current term. */
public enum class ConsensusRole { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER }

/** Reason why a proposal was not appended. */
public enum class ProposalRefusal { NOT_LEADER, TRANSFER_IN_PROGRESS, VOTER_CHANGE_NOT_ALLOWED }
