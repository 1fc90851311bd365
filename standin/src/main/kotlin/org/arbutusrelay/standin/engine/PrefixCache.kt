package org.arbutusrelay.standin.engine

/** A prompt prefix cache with least-recently-used eviction; safe to call from several threads. */
public class PrefixCache(private val maxBlocks: Int) {
    private val blocks = object : LinkedHashMap<Long, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean = size > maxBlocks
    }

    /** Returns how many leading blocks of [chain] are cached, then stores the whole chain. */
    @Synchronized
    public fun lookUpAndStore(chain: List<Long>): Int {
        val cached = chain.takeWhile(blocks::containsKey).size
        chain.forEach { blocks[it] = Unit }
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
