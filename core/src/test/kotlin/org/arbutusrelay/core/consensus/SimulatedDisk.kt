package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** Simulated disk; a crash may lose writes that are not synced. */
class SimulatedDisk(private var durable: DurableState) {
    private val unsynced = ArrayDeque<ConsensusEffect.Persist>()
    val unsyncedCount: Int get() = unsynced.size

    fun write(persist: ConsensusEffect.Persist) {
        unsynced += persist
    }

    fun sync(id: Long) {
        while (unsynced.isNotEmpty() && unsynced.first().id <= id) durable = apply(durable, unsynced.removeFirst())
    }

    fun describe(): String = with(durable) { "$term $votedFor ${snapshot.lastIndex} ${entries.map { it.term }}" }

    /** Keeps the first [keptWrites] unsynced writes, as a disk may, and discards the others. */
    fun crash(keptWrites: Int): DurableState {
        repeat(keptWrites) { durable = apply(durable, unsynced.removeFirst()) }
        unsynced.clear()
        return durable
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
