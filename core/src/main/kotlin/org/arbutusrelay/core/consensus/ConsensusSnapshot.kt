package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** The state of a group as of one log position. Index 0 is the state in which the group was founded. */
public class ConsensusSnapshot(
    public val lastIndex: Long,
    public val lastTerm: Long,
    public val voters: List<String>,
    /** State of the [StateMachine]; empty at index 0. */
    public val state: ByteArray,
)

/** What a replica reads from its disk when it starts. */
public data class DurableState(
    val term: Long = 0,
    val votedFor: String? = null,
    val snapshot: ConsensusSnapshot,
    /** Log entries; those that the snapshot covers may be present or missing. */
    val entries: List<LogEntry> = emptyList(),
) {
    public companion object {
        /** Returns the state of a new replica. [voters] is empty for a replica that is added to an existing group. */
        public fun founding(voters: List<String>): DurableState =
            DurableState(snapshot = ConsensusSnapshot(0, 0, voters, ByteArray(0)))
    }
}
