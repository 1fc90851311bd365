package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.SuspectState

/**
 * Spreads suspects: each change of what is known of a request is passed on to every neighbour once.
 *
 * A clearance (no crashes) and a further crash beside other requests are changes too; both were lost while only a
 * higher number of crashes counted.
 */
internal class SuspectFeed {
    private val items = ArrayDeque<Item>()
    private var sequence = 0L

    /** Adds [suspect]; false when the same is known already. */
    fun add(suspect: SuspectState, nowMs: Long): Boolean {
        items.removeAll { nowMs - it.crashMs >= KEEP_MS }
        val crashMs = nowMs - suspect.ageMs
        val content = suspect.copy(ageMs = 0)
        val old = items.find { it.content.digest == suspect.digest }
        val knownMs = old?.seen?.get(content)
        if (knownMs != null && crashMs - knownMs < REPEAT_MS) return false
        items.remove(old)
        val seen = (old?.seen.orEmpty() + (content to crashMs)).entries.toList().takeLast(MAX_SEEN)
        items += Item(++sequence, content, crashMs, seen.associate { it.toPair() })
        if (items.size > MAX_ITEMS) items.removeFirst()
        return true
    }

    /** Returns the suspects after [cursor], and the new cursor. */
    fun since(cursor: Long, nowMs: Long): Pair<List<SuspectState>, Long> =
        items.filter { it.sequence > cursor }.map { it.content.copy(ageMs = nowMs - it.crashMs) } to sequence

    private class Item(
        val sequence: Long,
        val content: SuspectState,
        val crashMs: Long,
        /** Contents that were passed on for the digest, with the time of each. */
        val seen: Map<SuspectState, Long>,
    )

    private companion object {
        /**
         * Time after which the same content is a new event. Ages leave out the time on the way, so an echo seems later
         * than the original by the time that digests take; this must exceed it.
         */
        private const val REPEAT_MS = 5_000L
        private const val MAX_SEEN = 8
        private const val KEEP_MS = 600_000L
        private const val MAX_ITEMS = 256
    }
}
