package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ReplicatedCommand

/**
 * Identity, timeouts and limits of one replica.
 *
 * The leader lease is safe because a voter grants no vote within [electionTimeoutMinMs] of its last contact with a
 * leader, and that timeout exceeds [leaseMs] by more than the drift between two clocks.
 */
public data class ConsensusConfig(
    /** Name of the group. */
    val group: String,
    /** Identity of this replica; a replica that has lost its disk must use a new one. */
    val self: String,
    val heartbeatMs: Long = 150,
    val leaseMs: Long = 1_000,
    val electionTimeoutMinMs: Long = 1_200,
    val electionTimeoutMaxMs: Long = 2_400,
    /** Maximum clock drift, in percent; the lease is shortened by it. */
    val driftPercent: Long = 1,
    val maxBatchEntries: Int = 256,
    /** Maximum size of an append request, as the sum of [commandBytes]; a larger entry is sent alone. */
    val maxBatchBytes: Int = 512 * 1024,
    /** Maximum number of append requests in flight to one follower. */
    val maxInFlight: Int = 8,
    val snapshotChunkBytes: Int = 256 * 1024,
    /** Entries retained before the latest snapshot, so that a slightly lagging follower needs no snapshot. */
    val trailingEntries: Int = 1_000,
    /** Maximum size of these entries, as the sum of [commandBytes]; the log is kept in memory. */
    val trailingBytes: Long = 4L * 1024 * 1024,
    /** Maximum number of committed entries that a learner may lag behind when it becomes a voter. */
    val catchUpEntries: Int = 64,
    /**
     * Time without messages from a voter before it may be removed as lost. A running voter that can reach this replica
     * sends heartbeats or pre-votes at least once per [electionTimeoutMaxMs]; the leader lease is far shorter.
     */
    val recoveryQuietMs: Long = 10_000,
    /** Returns the size of an encoded command in bytes. */
    val commandBytes: (ReplicatedCommand) -> Int = { 256 },
) {
    init {
        require(heartbeatMs in 1 until leaseMs) { "heartbeatMs must be shorter than leaseMs" }
        require(leaseMs * (100 + driftPercent) < electionTimeoutMinMs * (100 - driftPercent)) {
            "leaseMs must be shorter than electionTimeoutMinMs by more than the clock drift"
        }
        require(electionTimeoutMinMs < electionTimeoutMaxMs) {
            "electionTimeoutMinMs must be shorter than electionTimeoutMaxMs"
        }
        require(recoveryQuietMs >= 2 * electionTimeoutMaxMs) {
            "recoveryQuietMs must be at least twice electionTimeoutMaxMs"
        }
        require(maxBatchEntries > 0 && maxInFlight > 0 && snapshotChunkBytes > 0) {
            "maxBatchEntries, maxInFlight and snapshotChunkBytes must be positive"
        }
    }
}
