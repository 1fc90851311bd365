package org.arbutusrelay.standin.engine

/** A prompt prefix cache with least-recently-used eviction; thread-safe. */
public class PrefixCache(private val maxBlocks: Int) {
    private val blocks = object : LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean = size > maxBlocks
    }

    /** Returns the number of leading blocks of [hashes] that are cached, then stores all blocks. */
    @Synchronized
    public fun lookUpAndStore(hashes: List<Long>): Int {
        val cached = hashes.takeWhile(blocks::containsKey).size
        hashes.forEach { blocks[it] = Unit }
        return cached
    }

    /** Removes all blocks. */
    @Synchronized
    public fun clear(): Unit = blocks.clear()

    private companion object {
        private const val INITIAL_CAPACITY = 256
        private const val LOAD_FACTOR = 0.75f
    }
}
