package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.ReplicatedCommand

/** A replica of a consensus group that runs in this process. */
public interface ConsensusGroup<R> {
    /** Name of the group, such as `manifest` or `ledger/hue`. */
    public val name: String

    /** Host that leads the group as far as this replica knows, or null. */
    public val leaderName: String?

    /** Term of this replica. */
    public val term: Long

    /** Returns true while this replica leads the group and its leader lease has not expired. */
    public fun isLeaseHeld(): Boolean

    /**
     * Appends a command and returns its result once it is committed and applied here.
     *
     * A [RelayError] of outcome `not_run` means that the command was not appended, because this replica does not lead.
     * A [RelayError] of outcome `unknown` means that the command may or may not be committed later.
     */
    public suspend fun propose(command: ReplicatedCommand): Either<RelayError, R>

    /** Adds a listener that is called with the index and the result of each applied command. */
    public fun addListener(listener: (Long, R) -> Unit)

    /** Hands leadership to another voter, as far as one is reachable. */
    public suspend fun transferLeadership()
}
