package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.SuspectState

/** Spreads suspects: each is passed on to every neighbour once for each number of crashes. */
internal class SuspectFeed {
    private val items = ArrayDeque<Item>()
    private var sequence = 0L

    /** Adds [suspect]; false when as many crashes of the digest are known. */
    fun add(suspect: SuspectState, nowMs: Long): Boolean {
        items.removeAll { nowMs - it.crashMs >= KEEP_MS }
        val old = items.find { it.suspect.digest == suspect.digest }
        if (old != null && old.suspect.crashes >= suspect.crashes) return false
        items.remove(old)
        items += Item(++sequence, suspect, nowMs - suspect.ageMs)
        if (items.size > MAX_ITEMS) items.removeFirst()
        return true
    }

    /** Returns the suspects after [cursor], and the new cursor. */
    fun since(cursor: Long, nowMs: Long): Pair<List<SuspectState>, Long> =
        items.filter { it.sequence > cursor }.map { it.suspect.copy(ageMs = nowMs - it.crashMs) } to sequence

    private class Item(val sequence: Long, val suspect: SuspectState, val crashMs: Long)

    private companion object {
        const val KEEP_MS = 600_000L
        const val MAX_ITEMS = 256
    }
}
