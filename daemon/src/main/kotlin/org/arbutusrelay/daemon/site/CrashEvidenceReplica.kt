package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.suspect.CrashEvidenceTable
import org.arbutusrelay.core.suspect.CrashId
import org.arbutusrelay.core.suspect.aged
import org.arbutusrelay.core.suspect.isEmpty
import org.arbutusrelay.core.suspect.limitedTo
import org.arbutusrelay.core.suspect.plus
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.schema.message.CrashEvidence

/**
 * The crash evidence of this host, and the part of it that other hosts need to be told.
 *
 * [onUnsent] is called when there is something to send at once; it must not block. Thread-safe.
 */
public class CrashEvidenceReplica(private val clock: RelayClock, private val onUnsent: () -> Unit = {}) {
    private val table = CrashEvidenceTable()
    private val observed = ArrayDeque<Observation>()
    private var repeated: Observation? = null

    /** Keys whose requests must not be sent; the same instance until it changes. */
    public val heldBack: Set<String> get() = table.heldBack

    /** True while the key of a whole request is worth computing for each request that was proven. */
    public val hasRequestKeys: Boolean get() = table.hasRequestKeys

    /**
     * Records that the run of a request with [keys] on a backend server broke after [runMs] before it was proven.
     *
     * [after] is the crash of the attempt before, of the same request.
     */
    public fun recordCrash(
        backendServer: String,
        incarnation: Long,
        runMs: Long,
        keys: List<String>,
        after: CrashId? = null,
    ) {
        val nowMs = clock.nowMs()
        observe(table.recordCrash(backendServer, incarnation, runMs, keys, nowMs, after), nowMs)
    }

    /** Records that a run of a request with [keys] delivered a complete response, or the beginning of one. */
    public fun recordProven(keys: List<String>) {
        val nowMs = clock.nowMs()
        table.recordProven(keys, nowMs)?.let { observe(it, nowMs) }
    }

    /**
     * Merges the evidence of another host and gives what was new to [passOn].
     *
     * Returns true if there is something to pass on or to publish.
     */
    internal fun merge(evidence: CrashEvidence?, passOn: ((CrashEvidence) -> Unit)?): Boolean {
        if (evidence == null) return false
        val nowMs = clock.nowMs()
        val oldHeldBack = heldBack
        val news = table.merge(evidence, nowMs)
        if (news.isEmpty) return false
        passOn?.invoke(news)
        observe(table.provenHereOf(news, nowMs), nowMs)
        return passOn != null || heldBack !== oldHeldBack
    }

    /** Returns true if this host observed something that it has not sent yet. */
    @Synchronized
    internal fun hasUnsent(): Boolean = observed.any { !it.isSent }

    /** Lets the next reports repeat the keys that crashed more than once, for a state host that may have restarted. */
    internal fun repeatAll() {
        val evidence = all(MIN_REPEATED_CRASHES) ?: return
        synchronized(this) { repeated = Observation(evidence, clock.nowMs()) }
    }

    /** Returns what this host observed in the last [REPEAT_MS], or null; it counts as sent, but may have been lost. */
    @Synchronized
    internal fun recent(): CrashEvidence? {
        val nowMs = clock.nowMs()
        observed.removeIf { nowMs - it.atMs > REPEAT_MS }
        observed.forEach { it.isSent = true }
        return joined(observed + listOfNotNull(repeated?.takeIf { nowMs - it.atMs <= REPEAT_MS }))
    }

    /** Returns the evidence about keys that crashed at least [minCrashes] times, or null if there is none. */
    internal fun all(minCrashes: Int = 1): CrashEvidence? =
        table.evidence(clock.nowMs(), minCrashes).takeUnless { it.isEmpty }

    /** Forgets what has expired, and the crashes of servers that were announced since, by the times of [lastSeenMs]. */
    internal fun tick(lastSeenMs: (Set<CrashId>) -> Map<CrashId, Long>) {
        table.tick(clock.nowMs())
        val crashes = table.openCrashes()
        if (crashes.isNotEmpty()) table.withdrawCrashes(lastSeenMs(crashes))
    }

    private fun observe(evidence: CrashEvidence, atMs: Long) {
        if (evidence.isEmpty) return
        synchronized(this) {
            observed += Observation(evidence, atMs)
            if (observed.size > MAX_OBSERVED) observed.removeFirst()
        }
        onUnsent()
    }

    private fun joined(observations: Collection<Observation>): CrashEvidence? {
        if (observations.isEmpty()) return null
        val nowMs = clock.nowMs()
        return observations.map { it.evidence.aged(nowMs - it.atMs) }.reduce { all, next -> all + next }
            .limitedTo(MAX_PAIRS)
    }

    private class Observation(val evidence: CrashEvidence, val atMs: Long) {
        var isSent = false
    }

    internal companion object {
        /** Crashes of a key from which on hosts repeat it; single ones are the bulk after the loss of a region. */
        const val MIN_REPEATED_CRASHES = 2

        /** Covers three reports, in case a link or a state host fails. */
        private const val REPEAT_MS = 3_000L

        /** More than a host has requests in flight. */
        private const val MAX_OBSERVED = 1_024

        /** Keeps a report below the size of a frame. */
        private const val MAX_PAIRS = 2_048
    }
}
