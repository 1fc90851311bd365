package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError

/**
 * Writes to storage outside the driver coroutine; all queued writes share one sync.
 *
 * Writes that fail are repeated until the disk accepts them: a full disk is usually sound again later, and a replica
 * that ended would remain a voter. [onFailing] is called after each failed try, and [onSynced] ends the failure.
 */
internal class StorageWriter(
    private val name: String,
    private val storage: ConsensusStorage,
    private val onSynced: (Long) -> Unit,
    private val onFailing: (StorageError) -> Unit,
) {
    // Bounded by the input queue of the driver, because each step that writes consumes one of their elements. While
    // writes fail, a follower sends no replies, and a leader accepts no commands.
    private val queue = Channel<ConsensusEffect.Persist>(Channel.UNLIMITED)

    @Volatile
    private var isStopping = false

    fun submit(persist: ConsensusEffect.Persist) {
        queue.trySend(persist)
    }

    fun shutdown() {
        isStopping = true
        queue.close()
    }

    /** Runs until [shutdown], then closes the storage; writes that fail at that time are given up. */
    suspend fun run() = storage.use {
        for (first in queue) if (!writeRepeatedly(mutableListOf(first))) break
    }

    /** Returns false if the writes were given up because of a stop. */
    private suspend fun writeRepeatedly(writes: MutableList<ConsensusEffect.Persist>): Boolean {
        var failedTries = 0
        while (!isWritten(writes, failedTries)) {
            if (isStopping) return false
            failedTries++
            delay(RETRY_INTERVAL_MS)
        }
        if (failedTries > 0) logger.warn("{}: storage is written again after {} failed tries", name, failedTries)
        onSynced(writes.last().id)
        return true
    }

    /** Adds all queued writes to [writes] and returns true if they are written and synced. */
    private fun isWritten(writes: MutableList<ConsensusEffect.Persist>, failedTries: Int): Boolean {
        while (true) writes += queue.tryReceive().getOrNull() ?: break
        val error = storage.write(writes).leftOrNull() ?: return true
        if (failedTries == 0) logger.error("{}: storage cannot be written and is retried: {}", name, error)
        onFailing(error)
        return false
    }

    private companion object {
        private val logger = LogManager.getLogger(StorageWriter::class.java)

        /** Short against the time after which callers of a leader give up, and long against the time of a write. */
        const val RETRY_INTERVAL_MS = 250L
    }
}
