package org.arbutusrelay.core.suspect

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Builds the keys that crashes are counted for: a prompt part of a service, and a whole request.
 *
 * A key is readable, because operators see it in logs, and at most [MAX_LENGTH] characters long.
 */
public object CrashKeys {
    /** Longest key; longer ones in messages are ignored. */
    public const val MAX_LENGTH: Int = 160

    /** Position of the whole request, which is more specific than each of its parts. */
    public const val REQUEST_POSITION: Long = 1_000_000

    private const val PART_PREFIX = "part "
    private const val REQUEST_PREFIX = "request "
    private const val MAX_NAME_LENGTH = 64
    private const val HEX = 16

    /** Returns the key of the prompt part [partId] for [service]; names that are too long are replaced by a hash. */
    public fun ofPart(service: String, partId: String): String = "$PART_PREFIX${bounded(service)} ${bounded(partId)}"

    /** Returns the key of a whole request, equal for resends; [uri] is the path and query as sent by the caller. */
    public fun ofRequest(authority: String, uri: String, body: ByteArray): String {
        val target = Hashing.xxh3_64().hashCharsToLong("$authority $uri")
        val content = Hashing.xxh3_64().hashBytesToLong(body)
        return REQUEST_PREFIX + target.toULong().toString(HEX) + "-" + content.toULong().toString(HEX)
    }

    /** Returns true if [key] of another host's message has the form of a key. */
    internal fun isValid(key: String): Boolean =
        key.length <= MAX_LENGTH && (isRequest(key) || !partOf(key).isNullOrEmpty())

    internal fun isRequest(key: String): Boolean = key.startsWith(REQUEST_PREFIX)

    /** Returns the prompt part of [key] without its service, or null for a whole request. */
    internal fun partOf(key: String): String? =
        if (key.startsWith(PART_PREFIX)) key.removePrefix(PART_PREFIX).substringAfter(' ', "") else null

    private fun bounded(name: String): String =
        if (name.length <=
            MAX_NAME_LENGTH
        ) {
            name
        } else {
            "#" + Hashing.xxh3_64().hashCharsToLong(name).toULong().toString(HEX)
        }
}
