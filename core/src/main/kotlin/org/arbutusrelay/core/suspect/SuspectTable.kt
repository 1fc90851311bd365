package org.arbutusrelay.core.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.arbutusrelay.schema.message.SuspectState
import java.util.concurrent.atomic.AtomicReference

/** Decision on whether and how a request may be executed. */
public enum class SuspectVerdict {
    /** The request is not suspected and runs normally. */
    CLEAR,

    /** The request may run only on a backend server with nothing else in flight. */
    ISOLATE,

    /** The request is rejected with `REQUEST_SUSPECTED`. */
    REFUSE,
}

/** Limits of a [SuspectTable]. */
public data class SuspectLimits(
    /** Maximum number of records; the one with the oldest crash is evicted. */
    public val maxSuspects: Int = 1_024,
    /** Time after its last crash for which a request is suspected, in milliseconds. */
    public val lifetimeMs: Long = 600_000,
    /** Crashes after which a request is rejected even if other requests were in flight each time. */
    public val maxSharedCrashes: Int = 4,
) {
    init {
        require(maxSharedCrashes > 2) { "maxSharedCrashes must be above 2, the limit for a request that ran alone" }
        require(maxSuspects > 0) { "maxSuspects must be positive" }
        require(lifetimeMs > 0) { "lifetimeMs must be positive" }
    }
}

/**
 * Poison-request tracking for a region: the requests suspected of crashing backend servers, by digest.
 *
 * A request is rejected if it crashed a backend server while it ran alone after an earlier crash, or if it was in
 * flight in [SuspectLimits.maxSharedCrashes] crashes without completing in between. A request that was in flight in
 * fewer crashes is only isolated. [verdict] is lock-free.
 */
public class SuspectTable(private val limits: SuspectLimits = SuspectLimits()) {
    private val current = AtomicReference<PersistentMap<String, Suspect>>(persistentHashMapOf())
    private val sharedCrashes = LinkedHashSet<CrashId>()

    /** Number of records, including cleared ones. */
    public val size: Int get() = current.get().size

    /** Returns the decision for the request with the given [digest]. */
    public fun verdict(digest: String, nowMs: Long): SuspectVerdict {
        val suspect = current.get()[digest]?.takeIf { nowMs - it.atMs < limits.lifetimeMs }
        return when {
            suspect == null || suspect.crashes == 0 -> SuspectVerdict.CLEAR
            suspect.isAlone && suspect.crashes >= 2 -> SuspectVerdict.REFUSE
            suspect.total >= limits.maxSharedCrashes -> SuspectVerdict.REFUSE
            else -> SuspectVerdict.ISOLATE
        }
    }

    /** Records a crash of a backend server with the requests [inFlight]; returns the records to send to other hosts. */
    @Synchronized
    public fun recordCrash(
        backendServer: String,
        incarnation: Long,
        inFlight: List<String>,
        nowMs: Long,
    ): List<SuspectState> {
        val crash = CrashId(backendServer, incarnation)
        val digests = inFlight.distinct()
        digests.forEach { mergeRecord(it, Suspect(1, nowMs, crash, isAlone = inFlight.size == 1, total = 1), nowMs) }
        return digests.mapNotNull { state(it, nowMs) }
    }

    /** Clears a completed request; returns the record to send to other hosts, or null if it was not suspected. */
    @Synchronized
    public fun recordCompletion(digest: String, nowMs: Long): SuspectState? {
        if (verdict(digest, nowMs) == SuspectVerdict.CLEAR) return null
        putRecord(digest, Suspect(0, nowMs, null, isAlone = false, total = 0))
        return state(digest, nowMs)
    }

    /** Merges a record from another host. */
    @Synchronized
    public fun merge(state: SuspectState, nowMs: Long) {
        if (state.ageMs >= limits.lifetimeMs) return
        val server = state.backendServer
        val incarnation = state.incarnation
        val crash = if (server == null || incarnation == null) null else CrashId(server, incarnation)
        val isAlone = state.isAlone && crash != null
        val total = (state.totalCrashes ?: state.crashes).toInt()
        val suspect = Suspect(state.crashes.toInt(), nowMs - state.ageMs, crash, isAlone, total)
        mergeRecord(state.digest, suspect, nowMs)
    }

    /** Returns the unexpired records for a digest message. */
    public fun states(nowMs: Long): List<SuspectState> = current.get().keys.mapNotNull { state(it, nowMs) }

    private fun state(digest: String, nowMs: Long): SuspectState? {
        val suspect = current.get()[digest] ?: return null
        val ageMs = (nowMs - suspect.atMs).coerceAtLeast(0)
        if (ageMs >= limits.lifetimeMs) return null
        val crash = suspect.crash
        val crashes = suspect.crashes.toLong()
        val total = suspect.total.toLong()
        return SuspectState(digest, crashes, ageMs, crash?.backendServer, crash?.incarnation, suspect.isAlone, total)
    }

    private fun mergeRecord(digest: String, reported: Suspect, nowMs: Long) {
        val existing = current.get()[digest]?.takeIf { nowMs - it.atMs < limits.lifetimeMs }
        val crash = reported.crash
        if (crash != null) markSharedCrash(digest, crash)
        val suspect = reported.copy(isAlone = reported.isAlone && crash !in sharedCrashes)
        putRecord(digest, if (existing == null) suspect else combine(existing, suspect))
    }

    /** Marks a crash as shared if another request was in flight in it, whichever host reports that. */
    private fun markSharedCrash(digest: String, crash: CrashId) {
        val others = current.get().filter { (other, suspect) -> other != digest && suspect.crash == crash }
        if (others.isEmpty()) return
        sharedCrashes.add(crash)
        if (sharedCrashes.size > limits.maxSuspects) sharedCrashes.remove(sharedCrashes.first())
        others.forEach { (other, suspect) -> putRecord(other, suspect.copy(crashes = 1, isAlone = false)) }
    }

    private fun combine(existing: Suspect, reported: Suspect): Suspect {
        val newer = if (reported.atMs >= existing.atMs) reported else existing
        val older = if (newer === reported) existing else reported
        return when {
            newer.crash == older.crash -> combineSameCrash(newer, older)

            newer.crashes == 0 || older.crashes == 0 -> newer

            // A repeated report must not be counted again, so the total is a maximum and not a sum.
            else -> newer.copy(crashes = if (newer.isAlone) 2 else 1, total = maxOf(newer.total, older.total + 1))
        }
    }

    private fun combineSameCrash(newer: Suspect, older: Suspect): Suspect {
        val isAlone = newer.isAlone && older.isAlone
        val crashes = if (isAlone) maxOf(newer.crashes, older.crashes) else newer.cappedCrashes
        return newer.copy(crashes = crashes, isAlone = isAlone, total = maxOf(newer.total, older.total))
    }

    private fun putRecord(digest: String, suspect: Suspect) {
        val next = current.get().put(digest, suspect)
        val evicted = if (next.size > limits.maxSuspects) next.minBy { it.value.atMs }.key else null
        current.set(if (evicted == null) next else next.remove(evicted))
    }

    private data class CrashId(val backendServer: String, val incarnation: Long)

    /** Last crash of a request, or its clearance if [crashes] is 0. */
    private data class Suspect(
        val crashes: Int,
        val atMs: Long,
        val crash: CrashId?,
        val isAlone: Boolean,
        /** Number of known distinct crashes since the last clearance. */
        val total: Int,
    ) {
        val cappedCrashes: Int get() = minOf(crashes, 1)
    }
}
