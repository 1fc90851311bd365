package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerKey

/**
 * Keys ordered by the time of their last change, so that expiry does not scan the whole ledger.
 *
 * A key that changed several times has several records; the consumer compares each with the ledger state. Not
 * thread-safe: only the thread that applies commands may use it.
 */
internal class ExpiryQueue {
    private val records = ArrayDeque<Record>()

    /** Adds a record for each key that [command] changed. Ledger time never decreases, so the queue stays sorted. */
    fun addChanges(before: LedgerState, after: LedgerState, command: LedgerCommand) {
        if (before === after) return
        command.finish?.let { records.addLast(Record(after.timeMs, it.key)) }
        command.settle?.let { records.addLast(Record(after.timeMs, it.key)) }
        command.release?.let { records.addLast(Record(after.timeMs, it.key, it.attempt)) }
        command.imported?.entries?.forEach { records.addLast(Record(after.timeMs, it.key)) }
    }

    /** Removes the records of changes before [limitMs] and calls [action] for each. */
    inline fun removeBefore(limitMs: Long, action: (Record) -> Unit) {
        while (records.firstOrNull()?.let { it.changedMs < limitMs } == true) action(records.removeFirst())
    }

    /** Change of a key, or release of an attempt. */
    class Record(val changedMs: Long, val key: LedgerKey, private val released: Attempt? = null) {
        val releasedAttempt: ReleasedAttempt? get() = released?.let { ReleasedAttempt(key, it) }
    }

    companion object {
        /** Rebuilds the queue from a restored [state]. */
        fun of(state: LedgerState): ExpiryQueue {
            val all = ArrayList<Record>(state.recordCount)
            state.entries.values.mapTo(all) { Record(it.changedMs, it.key) }
            state.tombstones.mapTo(all) { (tombstone, atMs) -> Record(atMs, tombstone.key, tombstone.attempt) }
            all.sortBy(Record::changedMs)
            return ExpiryQueue().apply { records.addAll(all) }
        }
    }
}
