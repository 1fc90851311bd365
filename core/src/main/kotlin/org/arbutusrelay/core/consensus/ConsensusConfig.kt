package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ReplicatedCommand

/**
 * Identity, durations and bounds of one replica.
 *
 * The lease is safe because a voter refuses its vote for [electionTimeoutMinMs] after it heard from a leader, which is
 * longer than [leaseMs] by more than the drift of two clocks.
 */
public data class ConsensusConfig(
    /** Name of the group. */
    val group: String,
    /** Replica identity; a replica that lost its disk must use a new one. */
    val self: String,
    val heartbeatMs: Long = 150,
    val leaseMs: Long = 1_000,
    val electionTimeoutMinMs: Long = 1_200,
    val electionTimeoutMaxMs: Long = 2_400,
    /** Bound of the clock drift that is taken off the lease, in percent. */
    val driftPercent: Long = 1,
    val maxBatchEntries: Int = 256,
    /** Bound of one append request, in bytes as measured by [commandBytes]; one larger entry is still sent alone. */
    val maxBatchBytes: Int = 512 * 1024,
    /** Append requests in flight to one follower. */
    val maxInFlight: Int = 8,
    val snapshotChunkBytes: Int = 256 * 1024,
    /** Entries kept before the last snapshot, so that a follower slightly behind needs no snapshot. */
    val trailingEntries: Int = 1_000,
    /** A learner becomes a voter only if it is at most this many entries behind. */
    val catchUpEntries: Int = 64,
    /**
     * How long a voter must be silent before it may be removed as lost. A running voter that reaches this one sends
     * heartbeats or pre-votes at least once in [electionTimeoutMaxMs]; the leader lease is far shorter.
     */
    val recoveryQuietMs: Long = 10_000,
    /** Size of an encoded command in bytes. */
    val commandBytes: (ReplicatedCommand) -> Int = { 256 },
) {
    init {
        require(heartbeatMs in 1 until leaseMs) { "heartbeatMs must be shorter than leaseMs" }
        require(leaseMs * (100 + driftPercent) < electionTimeoutMinMs * (100 - driftPercent)) {
            "leaseMs must be shorter than electionTimeoutMinMs by more than the clock drift"
        }
        require(electionTimeoutMinMs < electionTimeoutMaxMs) { "the election timeout needs a range" }
        require(recoveryQuietMs >= 2 * electionTimeoutMaxMs) { "recoveryQuietMs must exceed two election timeouts" }
        require(maxBatchEntries > 0 && maxInFlight > 0 && snapshotChunkBytes > 0) { "bounds must be positive" }
    }
}
