package org.arbutusrelay.daemon.storage

import arrow.core.Either
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.DurableState

/** Keeps the persistent state of one replica. Calls come from one thread at a time. */
public interface ConsensusStorage : AutoCloseable {
    /** Number of syncs of log records so far; tells how many writes share one sync. */
    public val logSyncs: Long

    /** Returns the stored replica, or null when nothing was stored yet. */
    public fun load(): Either<StorageError, StoredReplica?>

    /** Stores a new replica, after [load] has found none. */
    public fun create(replica: StoredReplica): Either<StorageError, Unit>

    /**
     * Carries out [writes] in their order and returns when all are synced.
     *
     * After an error the state on disk is unknown, and each further call returns the same error.
     */
    public fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit>
}

/** A replica identity with its state. */
public data class StoredReplica(val identity: String, val state: DurableState)
