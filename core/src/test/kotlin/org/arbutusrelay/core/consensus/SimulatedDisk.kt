package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** A disk in virtual time: writes are lost in a crash until they are synced. */
class SimulatedDisk(private var founding: DurableState) {
    private val unsynced = ArrayDeque<ConsensusEffect.Persist>()
    val unsyncedCount: Int get() = unsynced.size

    fun write(persist: ConsensusEffect.Persist) {
        unsynced += persist
    }

    fun sync(id: Long) {
        while (unsynced.isNotEmpty() && unsynced.first().id <= id) founding = apply(founding, unsynced.removeFirst())
    }

    fun describe(): String = with(founding) { "$term $votedFor ${snapshot.lastIndex} ${entries.map { it.term }}" }

    /** Keeps the first [survivors] unsynced writes, as a disk may, and drops the others. */
    fun crash(survivors: Int): DurableState {
        repeat(survivors) { founding = apply(founding, unsynced.removeFirst()) }
        unsynced.clear()
        return founding
    }

    private fun apply(old: DurableState, write: ConsensusEffect.Persist): DurableState {
        val snapshot = write.snapshot ?: old.snapshot
        val kept: List<LogEntry> = old.entries
            .filter { it.index > snapshot.lastIndex }
            .filter { entry -> write.truncateFrom?.let { entry.index < it } ?: true }
        val vote = write.vote
        val votedFor = if (vote != null) vote.votedFor else old.votedFor
        val term = vote?.term ?: old.term
        return DurableState(term, votedFor, snapshot, kept + write.entries.filter { it.index > snapshot.lastIndex })
    }
}
