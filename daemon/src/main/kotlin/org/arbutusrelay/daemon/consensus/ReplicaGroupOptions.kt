package org.arbutusrelay.daemon.consensus

import org.arbutusrelay.core.consensus.LostVoter
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome

/** Bounds and error kinds of a [ReplicaGroup]. */
public data class ReplicaGroupOptions(
    /** Proposals and messages that wait for the decision thread; more are refused or dropped. */
    val queueLength: Int = 4_096,
    /** Proposals that are appended but not yet applied. */
    val maxPending: Int = 4_096,
    val maxProposalBatch: Int = 256,
    val tickMs: Long = 25,
    /** Applied entries between two snapshots; bounds the time of a restart. */
    val snapshotEntries: Long = 10_000,
    /** Voters that a group may have; further state hosts stay learners. */
    val maxVoters: Int = 7,
    /** A voter that was out of reach for this long makes room for a new replica that waits; null keeps it. */
    val replaceAfterMs: Long? = null,
    /** How long a stop waits for another voter to take over. */
    val transferWaitMs: Long = 3_000,
    /** A voter that is lost for good and to be removed once; needs a group of two state hosts. */
    val lostVoter: LostVoter? = null,
    /** Reported when nothing was appended because this replica does not lead. */
    val unavailableKind: ErrorKind = ErrorKind.LEDGER_UNAVAILABLE,
    /** Reported when the command may or may not be committed. */
    val unknownKind: ErrorKind = ErrorKind.OUTCOME_UNKNOWN,
) {
    init {
        require(unavailableKind.outcome == Outcome.NOT_RUN) { "unavailableKind must report not_run" }
        require(unknownKind.outcome == Outcome.UNKNOWN) { "unknownKind must report unknown" }
    }
}
