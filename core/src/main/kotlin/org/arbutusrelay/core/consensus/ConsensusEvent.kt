package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.ReplicatedCommand

/** An input of [ConsensusNode.step]. */
public sealed interface ConsensusEvent {
    /** Triggers the timers; expected at least once per heartbeat interval. */
    public data object Tick : ConsensusEvent

    /** A message was received. */
    public data class Receive(val message: ConsensusMessage) : ConsensusEvent

    /** Commands to append in order; results in one [ConsensusEffect.Proposed]. */
    public data class Propose(val commands: List<ReplicatedCommand>) : ConsensusEvent

    /** All [ConsensusEffect.Persist] up to [id] are synced to disk. */
    public data class Persisted(val id: Long) : ConsensusEvent

    /** Snapshot of the state machine at the applied [index]; earlier log entries may be trimmed. */
    public class SnapshotTaken(public val index: Long, public val state: ByteArray) : ConsensusEvent

    /** Transfers leadership to [target], or to the voter with the highest match index. */
    public data class TransferLeadership(val target: String? = null) : ConsensusEvent

    /** Removes a lost voter from a group of two, at most once; results in one [ConsensusEffect.Recovered]. */
    public data class RemoveLostVoter(val lost: LostVoter) : ConsensusEvent

    /** Sets the replicas that receive the log but do not vote. */
    public data class SetLearners(val learners: Set<String>) : ConsensusEvent
}
