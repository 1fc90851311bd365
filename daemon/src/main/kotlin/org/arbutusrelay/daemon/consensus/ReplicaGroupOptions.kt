package org.arbutusrelay.daemon.consensus

import org.arbutusrelay.core.consensus.LostVoter
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome

/** Limits, durations and error kinds of a [ReplicaGroup]. */
public data class ReplicaGroupOptions(
    /** Capacity of the input queue; when it is full, proposals are refused and messages dropped. */
    val queueLength: Int = 4_096,
    /** Maximum number of proposals that are appended but not applied yet. */
    val maxPending: Int = 4_096,
    val maxProposalBatch: Int = 256,
    val tickMs: Long = 25,
    /** Number of applied entries between two snapshots; bounds the duration of a restart. */
    val snapshotEntries: Long = 10_000,
    /**
     * Size of the applied commands between two snapshots in bytes; bounds the memory of the log. A larger snapshot is
     * taken only after as many bytes of commands as it has, so that at most half of what is written are snapshots.
     */
    val snapshotBytes: Long = 4L * 1024 * 1024,
    /** Maximum size of the proposals that are appended but not applied yet, in bytes. */
    val maxPendingBytes: Long = 16L * 1024 * 1024,
    /** Maximum number of voters; replicas on further state hosts stay learners. */
    val maxVoters: Int = 7,
    /** A voter unreachable for longer than this is replaced when a new replica is available; null keeps it. */
    val replaceAfterMs: Long? = null,
    /** How long a stop waits for the leadership transfer. */
    val transferWaitMs: Long = 3_000,
    /** A permanently lost voter that is removed once; requires a group of two state hosts. */
    val lostVoter: LostVoter? = null,
    /** Error for a command that was not appended because this replica is not the leader. */
    val unavailableKind: ErrorKind = ErrorKind.LEDGER_UNAVAILABLE,
    /** Error for a command that may or may not be committed. */
    val unknownKind: ErrorKind = ErrorKind.OUTCOME_UNKNOWN,
) {
    init {
        require(snapshotBytes > 0 && maxPendingBytes > 0) { "snapshotBytes and maxPendingBytes must be positive" }
        require(unavailableKind.outcome == Outcome.NOT_RUN) { "unavailableKind must have the outcome not_run" }
        require(unknownKind.outcome == Outcome.UNKNOWN) { "unknownKind must have the outcome unknown" }
    }
}
