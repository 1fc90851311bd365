package org.arbutusrelay.core.routing

import org.arbutusrelay.schema.api.CacheEvent
import org.arbutusrelay.schema.api.CacheEvents

/**
 * Applies the cache events of an engine to its [PrefixCacheIndex] in the order of their sequence numbers.
 *
 * A gap may hide the removal of any block, so it clears the whole index. Events that were already applied are ignored.
 */
internal class CacheSequence(private val slots: BackendSlots) {
    private var lastSequence = 0L

    fun apply(events: CacheEvents): Unit = synchronized(this) {
        if (events.incarnation != slots.state.incarnation) return
        events.events.forEach(::applyEvent)
    }

    private fun applyEvent(event: CacheEvent) {
        if (event.sequence <= lastSequence) return
        if (lastSequence != 0L && event.sequence > lastSequence + 1) slots.prefixIndex.clear()
        lastSequence = event.sequence
        when (event.type) {
            CacheEvent.Type.STORED -> slots.prefixIndex.add(event.hashes())
            CacheEvent.Type.REMOVED -> event.hashes().forEach(slots.prefixIndex::remove)
            CacheEvent.Type.CLEARED -> slots.prefixIndex.clear()
        }
    }

    private fun CacheEvent.hashes(): List<Long> = prefixes.mapNotNull { it.toULongOrNull(HEX)?.toLong() }

    private companion object {
        private const val HEX = 16
    }
}
