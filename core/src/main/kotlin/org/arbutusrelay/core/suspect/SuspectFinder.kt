package org.arbutusrelay.core.suspect

/**
 * Finds the keys that crash backend servers among those that were only in flight with them.
 *
 * A key is held back after a chain of crashes without a proven run in between. Its crashes no longer count for other
 * keys, which only ran beside it. Keys that were proven before the chain come last, then the longest chain wins, then
 * the key that is later in the prompt, because fewer requests share it.
 */
internal object SuspectFinder {
    /** Crashes in a row after which a key is held back; three in a row also happen to sound requests beside others. */
    const val MIN_CHAIN = 4

    /** Crashes in a row for a key that was proven shortly before: it is sound, unless it runs with another suspect. */
    const val MIN_CHAIN_OF_PROVEN = 8

    /** Time before a chain within which a proven run speaks for a key, in milliseconds. */
    private const val PROVEN_RECENTLY_MS = 60_000L

    /** Returns the keys of [records] to hold back. */
    fun find(records: Collection<CrashRecord>): Set<String> {
        val open = records.filter { it.isHoldable }.associateWithTo(HashMap()) { it.openCrashes }
        val held = LinkedHashSet<String>()
        val explained = HashSet<CrashId>()
        while (true) {
            val worst = open.mapNotNull { (record, crashes) -> candidate(record, crashes) }.maxOrNull() ?: break
            held += worst.record.key
            open.remove(worst.record)?.mapTo(explained) { it.id }
            open.replaceAll { _, crashes -> crashes.filter { it.id !in explained } }
        }
        return if (held.isEmpty()) held else held + sameParts(records, held, explained)
    }

    /**
     * Returns the keys of parts that are held back for another service and crashed a backend server of their own.
     *
     * A route may send a small share of its requests to a second service, where a chain would take long to form.
     */
    private fun sameParts(records: Collection<CrashRecord>, held: Set<String>, explained: Set<CrashId>): List<String> {
        val parts = held.mapNotNullTo(HashSet()) { CrashKeys.partOf(it) }
        return records.filter { record ->
            record.key !in held && record.provenMs == null && CrashKeys.partOf(record.key) in parts &&
                record.openCrashes.any { it.id !in explained }
        }.map { it.key }
    }

    private fun candidate(record: CrashRecord, crashes: List<KeyCrash>): Candidate? {
        if (crashes.size < MIN_CHAIN) return null
        val chain = record.chainOf(crashes)
        val wasProven = record.provenMs.let { it != null && it >= chain.firstCrashMs - PROVEN_RECENTLY_MS }
        val minLength = if (wasProven) MIN_CHAIN_OF_PROVEN else MIN_CHAIN
        return if (chain.length < minLength) null else Candidate(record, wasProven, chain.length)
    }

    private class Candidate(val record: CrashRecord, private val wasProven: Boolean, private val length: Int) :
        Comparable<Candidate> {
        override fun compareTo(other: Candidate): Int = compareValuesBy(
            this,
            other,
            { !it.wasProven },
            { it.length },
            { it.record.position },
            { it.record.key },
        )
    }
}
