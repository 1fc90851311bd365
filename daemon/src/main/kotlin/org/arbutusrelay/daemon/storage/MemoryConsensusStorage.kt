package org.arbutusrelay.daemon.storage

import arrow.core.Either
import arrow.core.right
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.core.consensus.DurableState

/** Stores a replica in memory, for tests and samples; the content survives [close]. */
public class MemoryConsensusStorage : ConsensusStorage {
    private var replica: StoredReplica? = null

    override var logSyncCount: Long = 0
        private set

    override fun load(): Either<StorageError, StoredReplica?> = replica.right()

    override fun create(replica: StoredReplica): Either<StorageError, Unit> {
        this.replica = replica
        return Unit.right()
    }

    override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> {
        val old = checkNotNull(replica) { "write() was called before create()" }
        if (writes.any { it.entries.isNotEmpty() || it.truncateFrom != null }) logSyncCount++
        replica = old.copy(state = writes.fold(old.state, ::apply))
        return Unit.right()
    }

    override fun close(): Unit = Unit

    private fun apply(old: DurableState, write: ConsensusEffect.Persist): DurableState {
        val vote = write.vote
        val snapshot = write.snapshot ?: old.snapshot
        val truncateFrom = write.truncateFrom ?: Long.MAX_VALUE
        return DurableState(
            term = vote?.term ?: old.term,
            votedFor = if (vote != null) vote.votedFor else old.votedFor,
            snapshot = snapshot,
            entries = (old.entries.filter { it.index < truncateFrom } + write.entries)
                .filter { it.index > snapshot.lastIndex },
        )
    }
}
