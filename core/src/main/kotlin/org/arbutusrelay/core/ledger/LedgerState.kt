package org.arbutusrelay.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerKey

/** Immutable state of a region ledger; any thread may read it. */
public data class LedgerState(
    /** Ledger time of the last applied command, in milliseconds; it never decreases. */
    public val timeMs: Long = 0,
    /** Entries by key. */
    public val entries: PersistentMap<LedgerKey, LedgerEntry> = persistentHashMapOf(),
    /** Subset of [entries] whose grant is neither finished nor settled. */
    public val openGrants: PersistentMap<LedgerKey, LedgerEntry> = persistentHashMapOf(),
    /** Released attempts and the ledger time of their release; later grants to them are refused. */
    public val tombstones: PersistentMap<ReleasedAttempt, Long> = persistentHashMapOf(),
    /** The latest fence of each caller whose home region moved. */
    public val fences: PersistentMap<String, LedgerFence> = persistentHashMapOf(),
    /** Total size of the response bodies in [entries], in bytes. */
    public val storedBytes: Long = 0,
) {
    /** Number of records, which [LedgerLimits.maxRecords] limits. */
    public val recordCount: Int get() = entries.size + tombstones.size

    /** Returns true when this ledger refuses all new grants for [caller]. */
    public fun isFenced(caller: String): Boolean = fences[caller]?.isFenced == true

    /** Returns the fence of [caller] if former home regions may still retain entries that could not move, or null. */
    public fun fenceWithRetainedEntries(caller: String): LedgerFence? =
        fences[caller]?.takeIf { it.heldIn.orEmpty().isNotEmpty() && timeMs < (it.heldUntilMs ?: 0) }

    /** Returns the entries of [caller] in no particular order. Scans all entries. */
    public fun entriesOf(caller: String): List<LedgerEntry> = entries.values.filter { it.key.caller == caller }
}

/** Attempt that was released; it must not be granted again. */
public data class ReleasedAttempt(public val key: LedgerKey, public val attempt: Attempt)
