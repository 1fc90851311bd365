package org.arbutusrelay.daemon.storage

import arrow.core.Either
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.DurableState

/** Stores the persistent state of one replica. Calls must not be concurrent. */
public interface ConsensusStorage : AutoCloseable {
    /** Number of syncs of log records so far; shows how many writes share one sync. */
    public val logSyncCount: Long

    /** Returns the stored replica, or null when none is stored. */
    public fun load(): Either<StorageError, StoredReplica?>

    /** Stores a new replica; allowed only after [load] has returned null. */
    public fun create(replica: StoredReplica): Either<StorageError, Unit>

    /**
     * Performs [writes] in order and returns when all of them are synced.
     *
     * After an error nothing of [writes] counts as written. The next call must begin with the same writes, and succeeds
     * once the disk accepts them.
     */
    public fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit>
}

/** A replica identity with its durable state. */
public data class StoredReplica(val identity: String, val state: DurableState)
