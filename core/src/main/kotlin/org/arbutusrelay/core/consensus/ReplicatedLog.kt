package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry

/** In-memory log after the last trimmed entry, with the voter sets that it contains. */
internal class ReplicatedLog(durable: DurableState, private val config: ConsensusConfig) {
    var snapshot: ConsensusSnapshot = durable.snapshot
        private set
    var baseIndex: Long = snapshot.lastIndex
        private set
    private var baseTerm: Long = snapshot.lastTerm
    private val entries = ArrayList<LogEntry>()
    private val entryBytes = ArrayList<Int>()
    private val voterSets = ArrayDeque(listOf(VoterSet(snapshot.lastIndex, snapshot.voters)))

    init {
        durable.entries.filter { it.index > baseIndex }.forEach(::append)
    }

    val lastIndex: Long get() = baseIndex + entries.size
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm

    /** Latest voter set in the log, committed or not. */
    val voters: List<String> get() = voterSets.last().voters
    val votersIndex: Long get() = voterSets.last().index

    fun votersAt(index: Long): List<String> = voterSets.last { it.index <= index }.voters

    /** Returns the term of the entry at [index], or null when the entry is trimmed or does not exist. */
    fun termAt(index: Long): Long? = when {
        index == baseIndex -> baseTerm
        index < baseIndex || index > lastIndex -> null
        else -> entries[(index - baseIndex - 1).toInt()].term
    }

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry ${entry.index} does not follow the last entry $lastIndex" }
        entries += entry
        entryBytes += config.commandBytes(entry.command)
        entry.command.voterChange?.let { voterSets += VoterSet(entry.index, it.voters) }
    }

    fun truncateFrom(index: Long) {
        val keptCount = (index - baseIndex - 1).toInt()
        entries.subList(keptCount, entries.size).clear()
        entryBytes.subList(keptCount, entryBytes.size).clear()
        while (voterSets.last().index >= index) voterSets.removeLast()
    }

    /** Returns the entries from [from] to [to], inclusive. */
    fun slice(from: Long, to: Long): List<LogEntry> =
        entries.subList((from - baseIndex - 1).toInt(), (to - baseIndex).toInt()).toList()

    /** Returns entries starting at [from], up to the size limits of an append request. */
    fun batch(from: Long): List<LogEntry> {
        var position = (from - baseIndex - 1).toInt()
        val first = position
        var bytes = 0
        while (position < entries.size && position - first < config.maxBatchEntries) {
            bytes += entryBytes[position]
            if (bytes > config.maxBatchBytes && position > first) break
            position++
        }
        return entries.subList(first, position).toList()
    }

    /** Returns the size of the entry at [index] in bytes, or 0 when the entry is trimmed. */
    fun bytesAt(index: Long): Int {
        val position = (index - baseIndex - 1).toInt()
        return if (index in baseIndex + 1..lastIndex) entryBytes[position] else 0
    }

    /** Returns the last index to trim when a snapshot ends at [snapshotIndex], by the limits on trailing entries. */
    fun trimIndex(snapshotIndex: Long): Long {
        val firstKept = maxOf(baseIndex, snapshotIndex - config.trailingEntries)
        var index = snapshotIndex
        var bytes = 0L
        while (index > firstKept) {
            bytes += bytesAt(index)
            if (bytes > config.trailingBytes) break
            index--
        }
        return index
    }

    /** Returns the last index before the entries of the term at [index], as a hint where the logs may match. */
    fun indexBeforeTermAt(index: Long): Long {
        val term = termAt(index) ?: return baseIndex
        var position = index
        while (position > baseIndex && termAt(position) == term) position--
        return position
    }

    /** Sets the latest snapshot and trims the log up to and including [trimTo]. */
    fun compact(snapshot: ConsensusSnapshot, trimTo: Long) {
        this.snapshot = snapshot
        if (trimTo <= baseIndex) return
        baseTerm = checkNotNull(termAt(trimTo)) { "cannot trim to $trimTo, which is beyond the last entry $lastIndex" }
        val count = (trimTo - baseIndex).toInt()
        entries.subList(0, count).clear()
        entryBytes.subList(0, count).clear()
        baseIndex = trimTo
        while (voterSets.size > 1 && voterSets[1].index <= trimTo) voterSets.removeFirst()
    }

    /** Replaces the complete log with [snapshot]. */
    fun reset(snapshot: ConsensusSnapshot) {
        this.snapshot = snapshot
        entries.clear()
        entryBytes.clear()
        baseIndex = snapshot.lastIndex
        baseTerm = snapshot.lastTerm
        voterSets.clear()
        voterSets += VoterSet(snapshot.lastIndex, snapshot.voters)
    }

    private class VoterSet(val index: Long, val voters: List<String>)
}
