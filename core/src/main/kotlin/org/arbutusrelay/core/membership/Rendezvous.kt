package org.arbutusrelay.core.membership

import com.dynatrace.hash4j.hashing.Hashing

/** Rendezvous hashing with XXH3: every process ranks the same names in the same order for a key. */
public object Rendezvous {
    private val hasher = Hashing.xxh3_64()

    /** Returns [names] ranked for [key], best first; adding or removing a name does not reorder the others. */
    public fun rank(key: String, names: Collection<String>): List<String> {
        val keyHash = hasher.hashCharsToLong(key)
        return names.map { it to hasher.hashLongLongToLong(keyHash, hasher.hashCharsToLong(it)) }
            .sortedWith(compareByDescending<Pair<String, Long>> { it.second }.thenBy { it.first })
            .map { it.first }
    }

    /** Returns a non-negative hash of [name] and [number] below [bound]. */
    internal fun bucket(name: String, number: Long, bound: Long): Long =
        Math.floorMod(hasher.hashLongLongToLong(hasher.hashCharsToLong(name), number), bound)
}
