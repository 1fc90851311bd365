package org.arbutusrelay.daemon.request

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/**
 * Hashes the blocks of a prompt in a chain, so that equal hashes mean equal prefixes.
 *
 * Each hash is XXH3-64 over the hash of the blocks before (0 for the first) and the hash of the block's UTF-16 text. An
 * incomplete last block has no hash, because an engine caches whole blocks only.
 */
public object PrefixHasher {
    /** Length of a block, in characters; about 64 tokens. */
    public const val BLOCK_CHARS: Int = 256

    /** Most blocks that are hashed, which bounds the work for a request. */
    public const val MAX_BLOCKS: Int = 256

    /** Average number of characters in a token of mixed text; used for estimates only. */
    public const val CHARS_PER_TOKEN: Int = 4

    /** Returns the chained hashes of the whole blocks of [prompt], the first block first. */
    public fun hashes(prompt: String): List<Long> {
        val hasher = Hashing.xxh3_64()
        var previous = 0L
        return List(minOf(prompt.length / BLOCK_CHARS, MAX_BLOCKS)) { block ->
            val start = block * BLOCK_CHARS
            val own = hasher.hashCharsToLong(prompt.subSequence(start, start + BLOCK_CHARS))
            hasher.hashLongLongToLong(previous, own).also { previous = it }
        }
    }

    /** Returns the text of chat [messages], each as role, line break, content, line break. */
    public fun promptOf(messages: JsonElement?): String {
        val text = StringBuilder()
        for (message in (messages as? JsonArray).orEmpty()) {
            val fields = message as? JsonObject ?: continue
            text.append(textOf(fields["role"])).append('\n').append(textOf(fields["content"])).append('\n')
        }
        return text.toString()
    }

    private fun textOf(content: JsonElement?): String = when (content) {
        is JsonPrimitive -> content.contentOrNull.orEmpty()
        is JsonArray -> content.joinToString("") { textOf((it as? JsonObject)?.get("text")) }
        else -> ""
    }
}
