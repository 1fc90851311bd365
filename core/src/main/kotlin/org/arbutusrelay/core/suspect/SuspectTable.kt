package org.arbutusrelay.core.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.arbutusrelay.schema.message.SuspectState
import java.util.concurrent.atomic.AtomicReference

/** What may be done with a request. */
public enum class SuspectVerdict {
    /** The request is not suspected. */
    CLEAR,

    /** The request may run only on a backend server with nothing else in flight. */
    ISOLATE,

    /** The request is refused with `REQUEST_SUSPECTED`. */
    REFUSE,
}

/** Bounds of a [SuspectTable]. */
public data class SuspectLimits(
    /** Most suspects; the one with the oldest crash makes room. */
    public val maxSuspects: Int = 1_024,
    /** How long a suspicion lasts after its last crash, in milliseconds. */
    public val lifetimeMs: Long = 600_000,
    /** Crashes after which a request is refused even if other requests were in flight each time. */
    public val maxSharedCrashes: Int = 4,
) {
    init {
        require(maxSharedCrashes > 2) { "maxSharedCrashes must exceed the two crashes of a request that ran alone" }
        require(maxSuspects > 0) { "maxSuspects must be positive" }
        require(lifetimeMs > 0) { "lifetimeMs must be positive" }
    }
}

/**
 * The requests of a region that are suspected of crashing backend servers, by digest.
 *
 * A request is refused when it crashed a backend server alone after an earlier crash, or when it was in flight in
 * [SuspectLimits.maxSharedCrashes] crashes without finishing in between. One that ran beside the cause less often is
 * only isolated. [verdict] takes no lock.
 */
public class SuspectTable(private val limits: SuspectLimits = SuspectLimits()) {
    private val current = AtomicReference<PersistentMap<String, Suspect>>(persistentHashMapOf())
    private val sharedCrashes = LinkedHashSet<CrashId>()

    /** Number of records, cleared ones included. */
    public val size: Int get() = current.get().size

    /** Decides on the request with the given [digest]. */
    public fun verdict(digest: String, nowMs: Long): SuspectVerdict {
        val suspect = current.get()[digest]?.takeIf { nowMs - it.atMs < limits.lifetimeMs }
        return when {
            suspect == null || suspect.crashes == 0 -> SuspectVerdict.CLEAR
            suspect.isAlone && suspect.crashes >= 2 -> SuspectVerdict.REFUSE
            suspect.total >= limits.maxSharedCrashes -> SuspectVerdict.REFUSE
            else -> SuspectVerdict.ISOLATE
        }
    }

    /** Records that a backend server crashed with the requests [inFlight]; returns what other hosts must learn. */
    @Synchronized
    public fun recordCrash(
        backendServer: String,
        incarnation: Long,
        inFlight: List<String>,
        nowMs: Long,
    ): List<SuspectState> {
        val crash = CrashId(backendServer, incarnation)
        val digests = inFlight.distinct()
        digests.forEach { put(it, Suspect(1, nowMs, crash, isAlone = inFlight.size == 1, total = 1), nowMs) }
        return digests.mapNotNull { state(it, nowMs) }
    }

    /** Clears a request that finished; returns what other hosts must learn, or null when it was not suspected. */
    @Synchronized
    public fun recordCompletion(digest: String, nowMs: Long): SuspectState? {
        if (verdict(digest, nowMs) == SuspectVerdict.CLEAR) return null
        update(digest, Suspect(0, nowMs, null, isAlone = false, total = 0))
        return state(digest, nowMs)
    }

    /** Takes over what another host reported. */
    @Synchronized
    public fun merge(state: SuspectState, nowMs: Long) {
        if (state.ageMs >= limits.lifetimeMs) return
        val server = state.backendServer
        val incarnation = state.incarnation
        val crash = if (server == null || incarnation == null) null else CrashId(server, incarnation)
        val isAlone = state.isAlone && crash != null
        val total = (state.totalCrashes ?: state.crashes).toInt()
        val suspect = Suspect(state.crashes.toInt(), nowMs - state.ageMs, crash, isAlone, total)
        put(state.digest, suspect, nowMs)
    }

    /** Returns the live records for a digest message. */
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

    private fun put(digest: String, reported: Suspect, nowMs: Long) {
        val known = current.get()[digest]?.takeIf { nowMs - it.atMs < limits.lifetimeMs }
        val crash = reported.crash
        if (crash != null) findShared(digest, crash)
        val suspect = reported.copy(isAlone = reported.isAlone && crash !in sharedCrashes)
        update(digest, if (known == null) suspect else combine(known, suspect))
    }

    /** A crash that another request was in flight in as well counts as shared, whoever reports it. */
    private fun findShared(digest: String, crash: CrashId) {
        val others = current.get().filter { (other, suspect) -> other != digest && suspect.crash == crash }
        if (others.isEmpty()) return
        sharedCrashes.add(crash)
        if (sharedCrashes.size > limits.maxSuspects) sharedCrashes.remove(sharedCrashes.first())
        others.forEach { (other, suspect) -> update(other, suspect.copy(crashes = 1, isAlone = false)) }
    }

    private fun combine(known: Suspect, reported: Suspect): Suspect {
        val newer = if (reported.atMs >= known.atMs) reported else known
        val older = if (newer === reported) known else reported
        return when {
            newer.crash == older.crash -> sameCrash(newer, older)

            newer.crashes == 0 || older.crashes == 0 -> newer

            // A report that arrives again must not count again, so the total is a bound and not a sum.
            else -> newer.copy(crashes = if (newer.isAlone) 2 else 1, total = maxOf(newer.total, older.total + 1))
        }
    }

    private fun sameCrash(newer: Suspect, older: Suspect): Suspect {
        val isAlone = newer.isAlone && older.isAlone
        val crashes = if (isAlone) maxOf(newer.crashes, older.crashes) else newer.level
        return newer.copy(crashes = crashes, isAlone = isAlone, total = maxOf(newer.total, older.total))
    }

    private fun update(digest: String, suspect: Suspect) {
        val next = current.get().put(digest, suspect)
        val oldest = if (next.size > limits.maxSuspects) next.minBy { it.value.atMs }.key else null
        current.set(if (oldest == null) next else next.remove(oldest))
    }

    private data class CrashId(val backendServer: String, val incarnation: Long)

    /** The last crash, or with no [crashes] the clearance, of a request. */
    private data class Suspect(
        val crashes: Int,
        val atMs: Long,
        val crash: CrashId?,
        val isAlone: Boolean,
        /** Different crashes since the last clearance, as far as they are known. */
        val total: Int,
    ) {
        val level: Int get() = minOf(crashes, 1)
    }
}
