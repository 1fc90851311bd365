package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry

/** Collects the effects of a step, and holds back messages until the writes they depend on are synced. */
internal class Outbox {
    private val effects = ArrayList<ConsensusEffect>()
    private val dependent = ArrayList<ConsensusMessage>()
    private val waiting = ArrayDeque<Pair<Long, ConsensusMessage>>()
    private val unsyncedEnds = ArrayDeque<SyncPoint>()
    private val entries = ArrayList<LogEntry>()
    private var vote: TermAndVote? = null
    private var snapshot: ConsensusSnapshot? = null
    private var truncateFrom: Long? = null
    private var trimTo: Long? = null
    private var issuedId = 0L
    private var syncedId = 0L

    /** Number that the writes of this step get. */
    val nextId: Long get() = issuedId + 1

    fun emit(effect: ConsensusEffect) {
        effects += effect
    }

    /** Sends once all writes issued so far, including those of this step, are synced. */
    fun sendAfterSync(message: ConsensusMessage) {
        dependent += message
    }

    fun writeVote(value: TermAndVote) {
        vote = value
    }

    fun writeEntry(entry: LogEntry) {
        entries += entry
    }

    fun writeTruncation(from: Long) {
        truncateFrom = from
        unsyncedEnds.forEach { it.lastIndex = minOf(it.lastIndex, from - 1) }
    }

    fun writeSnapshot(value: ConsensusSnapshot, trimTo: Long) {
        snapshot = value
        this.trimTo = trimTo
    }

    /** Marks writes up to [id] as synced; returns the last index that this made durable, or null. */
    fun onSynced(id: Long): Long? {
        syncedId = maxOf(syncedId, id)
        while (waiting.isNotEmpty() && waiting.first().first <= syncedId) {
            effects += ConsensusEffect.Send(waiting.removeFirst().second)
        }
        var end: Long? = null
        while (unsyncedEnds.isNotEmpty() && unsyncedEnds.first().id <= syncedId) {
            end = unsyncedEnds.removeFirst().lastIndex
        }
        return end
    }

    /** Returns the effects of the step. [lastIndex] is the end of the log after it. */
    fun flush(lastIndex: Long): List<ConsensusEffect> {
        val hasWrites = entries.isNotEmpty() || listOf(vote, snapshot, truncateFrom).any { it != null }
        if (hasWrites) {
            issuedId++
            unsyncedEnds += SyncPoint(issuedId, lastIndex)
            effects.add(0, takePersist())
        }
        for (message in dependent) {
            if (issuedId > syncedId) waiting += issuedId to message else effects += ConsensusEffect.Send(message)
        }
        dependent.clear()
        return effects.toList().also { effects.clear() }
    }

    private fun takePersist(): ConsensusEffect.Persist =
        ConsensusEffect.Persist(issuedId, vote, snapshot, truncateFrom, trimTo, entries.toList()).also {
            vote = null
            snapshot = null
            truncateFrom = null
            trimTo = null
            entries.clear()
        }

    private class SyncPoint(val id: Long, var lastIndex: Long)
}
