package org.arbutusrelay.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerKey

/** An immutable version of a region ledger, which any thread may read. */
public data class LedgerState(
    /** Ledger time of the last applied command, in milliseconds; it never decreases. */
    public val timeMs: Long = 0,
    /** Entries by key. */
    public val entries: PersistentMap<LedgerKey, LedgerEntry> = persistentHashMapOf(),
    /** The entries of [entries] with an open grant. */
    public val open: PersistentMap<LedgerKey, LedgerEntry> = persistentHashMapOf(),
    /** Released attempts with the ledger time of their release; their grants are refused. */
    public val tombstones: PersistentMap<ReleasedAttempt, Long> = persistentHashMapOf(),
    /** The latest fence of each caller whose home region moved. */
    public val fences: PersistentMap<String, LedgerFence> = persistentHashMapOf(),
    /** Bytes of the bodies that [entries] hold. */
    public val storedBytes: Long = 0,
) {
    /** Number of records that count towards [LedgerLimits.maxRecords]. */
    public val recordCount: Int get() = entries.size + tombstones.size

    /** Returns true when this ledger grants nothing for [caller]. */
    public fun isFenced(caller: String): Boolean = fences[caller]?.isFenced == true

    /** Returns the fence of [caller] while former home regions may hold entries of it that could not move, or null. */
    public fun heldElsewhere(caller: String): LedgerFence? =
        fences[caller]?.takeIf { it.heldIn.orEmpty().isNotEmpty() && timeMs < (it.heldUntilMs ?: 0) }

    /** Returns the entries of [caller], in no particular order; the cost grows with all entries. */
    public fun entriesOf(caller: String): List<LedgerEntry> = entries.values.filter { it.key.caller == caller }
}

/** An attempt whose grant was withdrawn. */
public data class ReleasedAttempt(public val key: LedgerKey, public val attempt: Attempt)
