package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry

/** Collects the effects of a step and delays messages until the writes they depend on are synced. */
internal class Outbox {
    private val effects = ArrayList<ConsensusEffect>()
    private val messagesAfterSync = ArrayList<ConsensusMessage>()
    private val delayed = ArrayDeque<Pair<Long, ConsensusMessage>>()
    private val unsyncedWrites = ArrayDeque<UnsyncedWrite>()
    private val entries = ArrayList<LogEntry>()
    private var vote: TermAndVote? = null
    private var snapshot: ConsensusSnapshot? = null
    private var truncateFrom: Long? = null
    private var trimTo: Long? = null
    private var lastWriteId = 0L
    private var syncedId = 0L
    private var lastSyncMs = 0L

    /** Id of the writes of this step. */
    val nextId: Long get() = lastWriteId + 1

    fun isSynced(id: Long): Boolean = id <= syncedId

    /** Time that the latest sync took, or that the oldest write has waited for its sync if that is longer. */
    fun syncMs(nowMs: Long): Long = maxOf(lastSyncMs, unsyncedWrites.firstOrNull()?.let { nowMs - it.writtenMs } ?: 0)

    fun emit(effect: ConsensusEffect) {
        effects += effect
    }

    /** Sends [message] after all writes up to and including this step are synced. */
    fun sendAfterSync(message: ConsensusMessage) {
        messagesAfterSync += message
    }

    fun writeVote(value: TermAndVote) {
        vote = value
    }

    fun writeEntry(entry: LogEntry) {
        entries += entry
    }

    fun writeTruncation(from: Long) {
        truncateFrom = from
        unsyncedWrites.forEach { it.lastIndex = minOf(it.lastIndex, from - 1) }
    }

    fun writeSnapshot(value: ConsensusSnapshot, trimTo: Long) {
        snapshot = value
        this.trimTo = trimTo
    }

    /** Marks writes up to [id] as synced; returns the last durable log index, or null if it did not change. */
    fun onSynced(id: Long, nowMs: Long): Long? {
        syncedId = maxOf(syncedId, id)
        while (delayed.isNotEmpty() && delayed.first().first <= syncedId) {
            effects += ConsensusEffect.Send(delayed.removeFirst().second)
        }
        var durableIndex: Long? = null
        while (unsyncedWrites.isNotEmpty() && unsyncedWrites.first().id <= syncedId) {
            val write = unsyncedWrites.removeFirst()
            durableIndex = write.lastIndex
            lastSyncMs = nowMs - write.writtenMs
        }
        return durableIndex
    }

    /** Returns the effects of the step and clears them; [lastIndex] is the last log index after the step. */
    fun flush(lastIndex: Long, nowMs: Long): List<ConsensusEffect> {
        val hasWrites = entries.isNotEmpty() || listOf(vote, snapshot, truncateFrom).any { it != null }
        if (hasWrites) {
            lastWriteId++
            unsyncedWrites += UnsyncedWrite(lastWriteId, lastIndex, nowMs)
            effects.add(0, drainWrites())
        }
        for (message in messagesAfterSync) {
            if (lastWriteId > syncedId) delayed += lastWriteId to message else effects += ConsensusEffect.Send(message)
        }
        messagesAfterSync.clear()
        return effects.toList().also { effects.clear() }
    }

    private fun drainWrites(): ConsensusEffect.Persist =
        ConsensusEffect.Persist(lastWriteId, vote, snapshot, truncateFrom, trimTo, entries.toList()).also {
            vote = null
            snapshot = null
            truncateFrom = null
            trimTo = null
            entries.clear()
        }

    private class UnsyncedWrite(val id: Long, var lastIndex: Long, val writtenMs: Long)
}
