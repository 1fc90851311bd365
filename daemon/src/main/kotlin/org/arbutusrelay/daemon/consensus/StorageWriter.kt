package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.channels.Channel
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError

/** Writes to storage outside the driver coroutine; all queued writes share one sync. */
internal class StorageWriter(
    private val storage: ConsensusStorage,
    private val onSynced: (Long) -> Unit,
    private val onFailure: (StorageError) -> Unit,
) {
    // Bounded by the input queue of the driver, because each step that writes consumes one of their elements.
    private val queue = Channel<ConsensusEffect.Persist>(Channel.UNLIMITED)

    fun submit(persist: ConsensusEffect.Persist) {
        queue.trySend(persist)
    }

    fun shutdown() {
        queue.close()
    }

    /** Runs until [shutdown] or a storage error, then closes the storage. */
    suspend fun run() = storage.use {
        for (first in queue) {
            val writes = mutableListOf(first)
            while (true) writes += queue.tryReceive().getOrNull() ?: break
            storage.write(writes).fold(
                { error ->
                    onFailure(error)
                    return@use
                },
                { onSynced(writes.last().id) },
            )
        }
    }
}
