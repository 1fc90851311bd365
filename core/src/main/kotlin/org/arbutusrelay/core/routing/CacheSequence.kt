package org.arbutusrelay.core.routing

import org.arbutusrelay.schema.api.CacheEvent
import org.arbutusrelay.schema.api.CacheEvents

/**
 * Applies an engine's cache events to its [PrefixHistory] in the order of their sequence numbers.
 *
 * A gap may hide the removal of any block, so it discards the whole history. Events that were already applied are
 * ignored.
 */
internal class CacheSequence(private val slots: BackendSlots) {
    private var last = 0L

    fun apply(events: CacheEvents): Unit = synchronized(this) {
        if (events.incarnation != slots.state.incarnation) return
        events.events.forEach(::applyOne)
    }

    private fun applyOne(event: CacheEvent) {
        if (event.sequence <= last) return
        if (last != 0L && event.sequence > last + 1) slots.history.clear()
        last = event.sequence
        when (event.type) {
            CacheEvent.Type.STORED -> slots.history.add(event.hashes())
            CacheEvent.Type.REMOVED -> event.hashes().forEach(slots.history::remove)
            CacheEvent.Type.CLEARED -> slots.history.clear()
        }
    }

    private fun CacheEvent.hashes(): List<Long> = prefixes.mapNotNull { it.toULongOrNull(HEX)?.toLong() }

    private companion object {
        private const val HEX = 16
    }
}
