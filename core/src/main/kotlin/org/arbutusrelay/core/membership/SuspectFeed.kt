package org.arbutusrelay.core.membership

import org.arbutusrelay.schema.message.SuspectState

/**
 * Distributes suspected requests: each change in the state of a suspect is sent to every neighbour once.
 *
 * A clearance (no crashes) and a further crash shared with other requests are also changes; comparing only the number
 * of crashes would lose both.
 */
internal class SuspectFeed {
    private val items = ArrayDeque<Item>()
    private var sequence = 0L

    /** Adds [suspect]; returns false when it is a duplicate. */
    fun add(suspect: SuspectState, nowMs: Long): Boolean {
        items.removeAll { nowMs - it.crashMs >= RETENTION_MS }
        val crashMs = nowMs - suspect.ageMs
        val content = suspect.copy(ageMs = 0)
        val old = items.find { it.content.digest == suspect.digest }
        val lastSeenMs = old?.seen?.get(content)
        if (lastSeenMs != null && crashMs - lastSeenMs < DUPLICATE_WINDOW_MS) return false
        items.remove(old)
        val seen = (old?.seen.orEmpty() + (content to crashMs)).entries.toList().takeLast(MAX_SEEN_CONTENTS)
        items += Item(++sequence, content, crashMs, seen.associate { it.toPair() })
        if (items.size > MAX_ITEMS) items.removeFirst()
        return true
    }

    /** Returns the suspects added after [cursor], and the new cursor. */
    fun since(cursor: Long, nowMs: Long): Pair<List<SuspectState>, Long> =
        items.filter { it.sequence > cursor }.map { it.content.copy(ageMs = nowMs - it.crashMs) } to sequence

    private class Item(
        val sequence: Long,
        val content: SuspectState,
        val crashMs: Long,
        /** Contents already distributed for this digest, each with its crash time. */
        val seen: Map<SuspectState, Long>,
    )

    private companion object {
        /**
         * Time after which equal content is a new event. Ages do not include the propagation time, so an echo appears
         * later than the original by the time that digests take to propagate; this value must exceed that time.
         */
        private const val DUPLICATE_WINDOW_MS = 5_000L
        private const val MAX_SEEN_CONTENTS = 8
        private const val RETENTION_MS = 600_000L
        private const val MAX_ITEMS = 256
    }
}
