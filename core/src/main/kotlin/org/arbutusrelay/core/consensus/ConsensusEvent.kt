package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.ReplicatedCommand

/** An input of [ConsensusNode.step]. */
public sealed interface ConsensusEvent {
    /** Time has passed; expected at least once a heartbeat interval. */
    public data object Tick : ConsensusEvent

    /** A message arrived. */
    public data class Receive(val message: ConsensusMessage) : ConsensusEvent

    /** Commands to append in this order. Answered by one [ConsensusEffect.Proposed]. */
    public data class Propose(val commands: List<ReplicatedCommand>) : ConsensusEvent

    /** All [ConsensusEffect.Persist] up to number [id] are synced to disk. */
    public data class Persisted(val id: Long) : ConsensusEvent

    /** The state machine's state as of the applied [index]; the log before it may be trimmed. */
    public class SnapshotTaken(public val index: Long, public val state: ByteArray) : ConsensusEvent

    /** Hands leadership to [target], or to the voter with the longest log. */
    public data class TransferLeadership(val target: String? = null) : ConsensusEvent

    /** Removes a lost voter from a group of two, once. Answered by one [ConsensusEffect.Recovered]. */
    public data class RemoveLostVoter(val lost: LostVoter) : ConsensusEvent

    /** Replaces the replicas that receive the log without a vote. */
    public data class SetLearners(val learners: Set<String>) : ConsensusEvent
}
