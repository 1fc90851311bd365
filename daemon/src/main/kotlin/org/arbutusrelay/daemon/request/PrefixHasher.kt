package org.arbutusrelay.daemon.request

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/**
 * Computes chained hashes over the blocks of a prompt; equal hashes indicate equal prefixes.
 *
 * Each hash is XXH3-64 over the hash of the previous block (0 for the first) and the hash of the block's UTF-16 text. A
 * partial last block is not hashed, because engines cache only whole blocks.
 */
public object PrefixHasher {
    /** Block length in characters; about 64 tokens. */
    public const val BLOCK_CHARS: Int = 256

    /** Maximum number of hashed blocks; bounds the work per request. */
    public const val MAX_BLOCKS: Int = 256

    /** Average characters per token in mixed text; used only for estimates. */
    public const val CHARS_PER_TOKEN: Int = 4

    /** Returns the chained hashes of the whole blocks of [prompt], in order. */
    public fun hashes(prompt: String): List<Long> {
        val hasher = Hashing.xxh3_64()
        var previous = 0L
        return List(minOf(prompt.length / BLOCK_CHARS, MAX_BLOCKS)) { block ->
            val start = block * BLOCK_CHARS
            val blockHash = hasher.hashCharsToLong(prompt.subSequence(start, start + BLOCK_CHARS))
            hasher.hashLongLongToLong(previous, blockHash).also { previous = it }
        }
    }

    /** Concatenates chat [messages], each as role, line break, content, line break. */
    public fun promptText(messages: JsonElement?): String {
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
