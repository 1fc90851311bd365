package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.ReplicatedCommand

/** A replica of a consensus group that runs in this process. */
public interface ConsensusGroup<R> {
    /** Name of the group, such as `manifest` or `ledger/hue`. */
    public val name: String

    /** Host name of the current leader as known to this replica, or null when no leader is known. */
    public val leaderName: String?

    /** Current consensus term of this replica. */
    public val term: Long

    /** Returns true while this replica leads the group and its leader lease has not expired. */
    public fun isLeaseHeld(): Boolean

    /**
     * Proposes a command and returns its result after it was committed and applied on this replica.
     *
     * A [RelayError] with the outcome `not_run` means that the command was not appended, for example because this
     * replica is not the leader. With the outcome `unknown` the command may or may not be committed later.
     */
    public suspend fun propose(command: ReplicatedCommand): Either<RelayError, R>

    /** Adds a listener that is called with the index and the result of each applied command. */
    public fun addListener(listener: (Long, R) -> Unit)

    /** Transfers leadership to another voter if one is reachable. */
    public suspend fun transferLeadership()
}
