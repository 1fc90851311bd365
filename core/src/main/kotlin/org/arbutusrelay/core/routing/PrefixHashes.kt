package org.arbutusrelay.core.routing

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Computes the chained block hashes of a prompt.
 *
 * Each hash covers its block and all blocks before it, so equal hashes mean equal prefixes. Only whole blocks are
 * hashed, as engines cache whole blocks. The hash function is XXH3 with 64 bits.
 */
public object PrefixHashes {
    /** Returns the hashes of the first [maxBlocks] blocks of [blockBytes] bytes of [prompt]. */
    public fun of(prompt: ByteArray, blockBytes: Int = 256, maxBlocks: Int = 128): List<Long> {
        require(blockBytes > 0) { "blockBytes $blockBytes is below 1" }
        var previous = 0L
        return List(minOf(prompt.size / blockBytes, maxBlocks)) { block ->
            val hash = Hashing.xxh3_64().hashBytesToLong(prompt, block * blockBytes, blockBytes)
            // 0 marks an empty entry of the prefix cache index.
            previous = BackendSlots.mix(previous * CHAIN_FACTOR + hash).let { if (it == 0L) 1L else it }
            previous
        }
    }

    /**
     * Computes the chained hashes of a prompt of which only the identifiers and lengths of its parts are known.
     *
     * A part of n tokens becomes n / [blockTokens] blocks, at least one, so that the number of equal leading blocks
     * approximates the number of equal leading tokens.
     */
    public fun ofParts(parts: List<Pair<String, Int>>, blockTokens: Int = 256, maxBlocks: Int = 256): List<Long> {
        require(blockTokens > 0) { "blockTokens $blockTokens is below 1" }
        var previous = 0L
        return parts.asSequence()
            .flatMap { (id, tokens) ->
                val hash = Hashing.xxh3_64().hashCharsToLong(id)
                List(blocksOf(tokens, blockTokens)) { hash }.asSequence()
            }
            .take(maxBlocks)
            .map { hash ->
                previous = BackendSlots.mix(previous * CHAIN_FACTOR + hash).let { if (it == 0L) 1L else it }
                previous
            }.toList()
    }

    /** Returns how many hashes of [ofParts] cover the leading [parts] of a prompt. */
    public fun countOfParts(parts: List<Pair<String, Int>>, blockTokens: Int = 256, maxBlocks: Int = 256): Int =
        minOf(maxBlocks, parts.sumOf { (_, tokens) -> blocksOf(tokens, blockTokens) })

    private fun blocksOf(tokens: Int, blockTokens: Int) = maxOf(1, tokens / blockTokens)

    private const val CHAIN_FACTOR = -0x61c8864680b583ebL
}
