package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** State of a group at a log index. Index 0 is the initial state of the group. */
public class ConsensusSnapshot(
    public val lastIndex: Long,
    public val lastTerm: Long,
    public val voters: List<String>,
    /** Serialized state of the [StateMachine]; empty at index 0. */
    public val state: ByteArray,
)

/** State that a replica reads from disk at startup. */
public data class DurableState(
    val term: Long = 0,
    val votedFor: String? = null,
    val snapshot: ConsensusSnapshot,
    /** Log entries; those that the snapshot includes may be missing. */
    val entries: List<LogEntry> = emptyList(),
) {
    public companion object {
        /** Returns the initial state of a replica; [voters] is empty when it joins an existing group. */
        public fun founding(voters: List<String>): DurableState =
            DurableState(snapshot = ConsensusSnapshot(0, 0, voters, ByteArray(0)))
    }
}
