package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicIntegerArray
import java.util.concurrent.atomic.AtomicLongArray

/**
 * Indexes the prompt blocks that a backend server probably has in its prefix cache.
 *
 * Entries come from the placements of this host and are corrected by cache events. The table is set-associative with
 * [WAYS] entries per set and a capacity of about [maxBlocks] blocks; the oldest entry of a set is evicted. It is
 * lock-free: concurrent writers can lose an entry, which costs a cache hit at most.
 */
public class PrefixCacheIndex(maxBlocks: Int) {
    private val sets = Integer.highestOneBit(maxOf(1, maxBlocks / WAYS))
    private val keys = AtomicLongArray(sets * WAYS)
    private val stamps = AtomicIntegerArray(sets * WAYS)

    @Volatile
    private var clock = 0

    /** Returns the number of leading blocks in [hashes] that are probably cached. */
    public fun matchPrefix(hashes: List<Long>): Int {
        for (index in hashes.indices) if (find(hashes[index]) < 0) return index
        return hashes.size
    }

    /** Records that the blocks in [hashes] are cached. */
    public fun add(hashes: List<Long>) {
        val stamp = ++clock
        for (index in hashes.indices) put(hashes[index], stamp)
    }

    /** Removes one block. */
    public fun remove(hash: Long) {
        val slot = find(hash)
        if (slot >= 0) keys.set(slot, 0)
    }

    /** Removes all blocks. */
    public fun clear() {
        for (slot in 0 until keys.length()) keys.set(slot, 0)
    }

    private fun put(hash: Long, stamp: Int) {
        val found = find(hash)
        val slot = if (found >= 0) found else oldest(firstSlot(hash))
        keys.set(slot, hash)
        stamps.set(slot, stamp)
    }

    private fun find(hash: Long): Int {
        val first = firstSlot(hash)
        for (slot in first until first + WAYS) if (keys.get(slot) == hash) return slot
        return -1
    }

    private fun oldest(first: Int): Int {
        var best = first
        for (slot in first until first + WAYS) {
            if (keys.get(slot) == 0L) return slot
            if (stamps.get(slot) - stamps.get(best) < 0) best = slot
        }
        return best
    }

    // Multiplication by the golden ratio spreads hashes with similar low bits.
    private fun firstSlot(hash: Long): Int = (((hash * GOLDEN_RATIO) ushr SHIFT) and (sets - 1).toLong()).toInt() * WAYS

    private companion object {
        private const val WAYS = 4
        private const val GOLDEN_RATIO = -0x61c8864680b583ebL
        private const val SHIFT = 32
    }
}
