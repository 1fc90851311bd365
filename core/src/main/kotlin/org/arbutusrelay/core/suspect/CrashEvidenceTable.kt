package org.arbutusrelay.core.suspect

import org.arbutusrelay.schema.message.CrashEvidence
import org.arbutusrelay.schema.message.CrashedRun
import org.arbutusrelay.schema.message.ProvenKey
import java.util.concurrent.atomic.AtomicReference

/** Bounds of a [CrashEvidenceTable]. */
public data class CrashEvidenceLimits(
    /** Keys with crashes; those with a single old crash are evicted first. */
    val maxKeys: Int = 1_024,
    /** Newest crashes kept for each key; about those of ten seconds at the highest rate that was recorded. */
    val maxCrashesPerKey: Int = 32,
    /** Recently proven keys of this host. */
    val maxProvenKeys: Int = 4_096,
    /** Time after its last crash for which a key is kept, in milliseconds. */
    val lifetimeMs: Long = 600_000,
    /** Runs or proven keys that are read from one message. */
    val maxMessageEntries: Int = 4_096,
    /** Pairs of a key and a crash that one message holds, the newest first; keeps it below the size of a frame. */
    val maxMessagePairs: Int = 4_096,
)

/**
 * What a host knows about the prompt parts and requests that may crash backend servers, by key (see [CrashKeys]).
 *
 * Each run whose connection broke before it was proven counts for the keys of its request. The evidence of several
 * hosts is joined as a union, so that messages may be repeated and reordered. [SuspectFinder] decides which keys are
 * held back. Times are monotonic, in milliseconds. [heldBack] is lock-free; the rest is thread-safe.
 */
public class CrashEvidenceTable(private val limits: CrashEvidenceLimits = CrashEvidenceLimits()) {
    private val records = HashMap<String, CrashRecord>()
    private val provenHere = object : LinkedHashMap<String, Long>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > limits.maxProvenKeys
    }
    private val held = AtomicReference<Set<String>>(emptySet())

    /** Keys whose requests must not be sent; the same instance until it changes. */
    public val heldBack: Set<String> get() = held.get()

    /** True while a whole request is under suspicion, so that the key of a proven one is worth computing. */
    @Volatile
    public var hasRequestKeys: Boolean = false
        private set

    /** Number of keys with evidence. */
    public val size: Int @Synchronized get() = records.size

    /**
     * Records that a run with [keys], the parts in the order of the prompt and the whole request last, broke after
     * [runMs]; returns what other hosts need to know. [after] is the crash of the attempt before, of the same request.
     */
    @Synchronized
    public fun recordCrash(
        backendServer: String,
        incarnation: Long,
        runMs: Long,
        keys: List<String>,
        nowMs: Long,
        after: CrashId? = null,
    ): CrashEvidence {
        val positions = keys.mapIndexed { index, key ->
            if (CrashKeys.isRequest(key)) CrashKeys.REQUEST_POSITION else index.toLong()
        }
        val proven = keys.mapNotNull { key -> provenHere[key]?.let { ProvenKey(key, (nowMs - it).coerceAtLeast(0)) } }
        val run = CrashedRun(backendServer, incarnation, 0, runMs.coerceAtLeast(0), keys, positions)
        val linked =
            after?.let { run.copy(afterServer = it.backendServer, afterIncarnation = it.incarnation) } ?: run
        return merge(CrashEvidence(listOf(linked), proven), nowMs)
    }

    /** Records that a run with [keys] was proven; returns what other hosts need to know, or null if that is nothing. */
    @Synchronized
    public fun recordProven(keys: List<String>, nowMs: Long): CrashEvidence? {
        keys.forEach { provenHere[it] = nowMs }
        val cleared = keys.mapNotNull { records[it] }.flatMap { clear(it, nowMs) }
        if (cleared.isEmpty()) return null
        decide()
        val provenKeys = cleared.map { (record, _) -> record.key }.distinct().map { ProvenKey(it, 0) }
        return CrashEvidence(groupRuns(cleared, nowMs), provenKeys)
    }

    /** Merges the evidence of another host and returns the part that was new. */
    @Synchronized
    public fun merge(evidence: CrashEvidence, nowMs: Long): CrashEvidence {
        val newRuns = evidence.crashes.take(limits.maxMessageEntries).mapNotNull { mergeRun(it, nowMs) }
        val newProven = evidence.provenKeys.take(limits.maxMessageEntries).filter { mergeProven(it, nowMs) }
        if (newRuns.isEmpty() && newProven.isEmpty()) return CrashEvidence()
        evictSurplus()
        decide()
        return CrashEvidence(
            newRuns.filter { run -> run.keys.any { it in records } },
            newProven.filter { it.key in records },
        )
    }

    /**
     * Returns keys of [evidence] under suspicion that this host has proven and that no host has reported as proven.
     *
     * The hosts that report crashes of a key need not be those that ran it before.
     */
    @Synchronized
    public fun provenHereOf(evidence: CrashEvidence, nowMs: Long): CrashEvidence {
        val keys = evidence.crashes.flatMapTo(LinkedHashSet()) { it.keys }
        val proven = keys.mapNotNull { records[it] }.filter { it.provenMs == null && isSuspected(it) }
            .mapNotNull { record ->
                provenHere[record.key]?.let { ProvenKey(record.key, (nowMs - it).coerceAtLeast(0)) }
            }
        return if (proven.isEmpty()) CrashEvidence() else merge(CrashEvidence(provenKeys = proven), nowMs)
    }

    /** Returns the evidence of all keys that crashed at least [minCrashes] times, the newest up to the bound. */
    @Synchronized
    public fun evidence(nowMs: Long, minCrashes: Int = 1): CrashEvidence {
        val kept = records.values.filter { it.crashes.size >= minCrashes }
        val pairs = kept.flatMap { record -> record.crashes.values.map { record to it } }
            .filter { (_, crash) -> nowMs - crash.crashMs < limits.lifetimeMs - FORGETTING_MS }
            .sortedByDescending { (_, crash) -> crash.crashMs }
            .take(limits.maxMessagePairs)
        val proven = kept.mapNotNull { record ->
            record.provenMs?.let { ProvenKey(record.key, (nowMs - it).coerceAtLeast(0)) }
        }
        return CrashEvidence(groupRuns(pairs, nowMs), proven)
    }

    /** Forgets keys whose last crash is older than their lifetime. */
    @Synchronized
    public fun tick(nowMs: Long) {
        if (records.values.removeIf { nowMs - it.newestMs >= limits.lifetimeMs }) decide()
    }

    /** Returns the crashes that count for any key. */
    @Synchronized
    public fun openCrashes(): Set<CrashId> = records.values.flatMapTo(HashSet()) { it.openCrashes.map(KeyCrash::id) }

    /**
     * Withdraws the crashes of backend servers that still run, which only lost connections.
     *
     * [lastSeenMs] holds the time of the last announcement of incarnations that are known.
     */
    @Synchronized
    public fun withdrawCrashes(lastSeenMs: Map<CrashId, Long>) {
        val survived = records.values.flatMap { it.openCrashes }
            .filter { crash -> lastSeenMs[crash.id].let { it != null && it >= crash.crashMs + MIN_SURVIVAL_MS } }
        survived.forEach { it.isCleared = true }
        if (survived.isNotEmpty()) decide()
    }

    private fun mergeRun(run: CrashedRun, nowMs: Long): CrashedRun? {
        if (run.ageMs >= limits.lifetimeMs - FORGETTING_MS) return null
        val id = CrashId(run.backendServer, run.incarnation)
        val newKeys = run.keys.take(MAX_KEYS_PER_RUN).withIndex().filter { (index, key) ->
            if (!CrashKeys.isValid(key)) return@filter false
            val record = records.getOrPut(key) { CrashRecord(key) }
            record.position = maxOf(record.position, run.positions.getOrElse(index) { 0 })
            val crash = KeyCrash(id, nowMs - run.ageMs, minOf(run.runMs, limits.lifetimeMs), run.isCleared)
            crash.after = CrashId(run.afterServer, run.afterIncarnation).takeIf { run.afterServer.isNotEmpty() }
            record.merge(crash, limits.maxCrashesPerKey)
        }
        if (newKeys.isEmpty()) return null
        return run.copy(
            keys = newKeys.map { it.value },
            positions = newKeys.map { run.positions.getOrElse(it.index) { 0 } },
        )
    }

    private fun mergeProven(proven: ProvenKey, nowMs: Long): Boolean {
        if (proven.ageMs >= limits.lifetimeMs - FORGETTING_MS || !CrashKeys.isValid(proven.key)) return false
        return records.getOrPut(proven.key) { CrashRecord(proven.key) }.mergeProven(nowMs - proven.ageMs)
    }

    /**
     * Clears the crashes of a suspected key and returns them; one crash alone is not worth a message.
     *
     * Crashes are cleared one by one and not by the time of the proven run: the times of different hosts are not exact.
     */
    private fun clear(record: CrashRecord, nowMs: Long): List<Pair<CrashRecord, KeyCrash>> {
        if (!isSuspected(record)) return emptyList()
        record.mergeProven(nowMs)
        return record.openCrashes.onEach { it.isCleared = true }.map { record to it }
    }

    private fun isSuspected(record: CrashRecord): Boolean =
        record.chainOf(record.openCrashes).length >= MIN_SUSPECTED_CHAIN

    private fun evictSurplus() {
        val surplus = records.size - limits.maxKeys
        if (surplus <= 0) return
        val byWorth = compareBy<CrashRecord>({ it.key in heldBack }, { it.crashes.size > 1 }, { it.newestMs })
        records.values.sortedWith(byWorth).take(surplus).forEach { records.remove(it.key) }
    }

    private fun decide() {
        val next = SuspectFinder.find(records.values)
        if (next != held.get()) held.set(next)
        hasRequestKeys = records.values.any { it.crashes.size >= MIN_SUSPECTED_CHAIN && CrashKeys.isRequest(it.key) }
    }

    private companion object {
        /** A key with two crashes in a row is worth a message when it is proven. */
        const val MIN_SUSPECTED_CHAIN = 2
        const val MAX_KEYS_PER_RUN = 64

        /** An announcement that was sent before a crash arrives within this time, unless it is much delayed. */
        const val MIN_SURVIVAL_MS = 2_000L

        /**
         * Evidence that is about to expire is no longer passed on: two hosts that forget it at slightly different times
         * would send it back and forth.
         */
        const val FORGETTING_MS = 60_000L
    }
}
