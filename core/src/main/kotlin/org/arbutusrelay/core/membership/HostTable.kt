package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.MANIFEST_NUMBER_INTERVAL_MS
import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.REMOVE_AFTER_MS
import org.arbutusrelay.core.membership.MembershipTimes.SUSPECT_AFTER_MS
import org.arbutusrelay.schema.message.HostState
import kotlin.math.abs

/** This process's record of one host. */
internal class HostEntry(var state: HostState) {
    /** Change number of the last change reported in digests; 0 before the first. */
    var changeNumber: Long = 0

    /** State at that change, and its time. */
    var reportedState: HostState = state
    var reportedMs: Long = NEVER

    /** Arrival time of the last heartbeat from the host itself. */
    var lastContactMs: Long = NEVER

    /** Latest report of each digest sender that lists the host. */
    val sources = HashMap<String, Report>()

    /** Suspicion as last reported in digests. */
    var reportedSuspicion: Boolean = false

    fun isDirectlyReported(nowMs: Long): Boolean = nowMs - lastContactMs < REMOVE_AFTER_MS

    /** Returns true when neither a recent heartbeat nor any digest indicates that the host is alive. */
    fun isSuspected(nowMs: Long): Boolean = isSilent(nowMs) && sources.values.all { it.isSuspected }

    /**
     * Returns the state to send in digests.
     *
     * For a host that sends heartbeats here, the suspicion depends only on these heartbeats: two aggregators that
     * repeated each other's view would never suspect a host.
     */
    fun digestState(nowMs: Long): HostState =
        state.copy(isSuspected = if (isDirectlyReported(nowMs)) isSilent(nowMs) else isSuspected(nowMs))

    private fun isSilent(nowMs: Long) = nowMs - lastContactMs >= SUSPECT_AFTER_MS

    /** Arrival time of the last digest of one sender, and whether that sender suspects the host. */
    class Report(val atMs: Long, val isSuspected: Boolean)
}

/**
 * The hosts of the local region.
 *
 * States received from the host itself take precedence. States from digests are ordered by process start and then by
 * version, so that an old epoch that a slow aggregator still reports does not replace a newer one.
 */
internal class HostTable(private val selfName: String, private val onReplaced: (String, Long) -> Unit) {
    private val entries = LinkedHashMap<String, HostEntry>()
    private var changes = 0L

    val all: Collection<HostEntry> get() = entries.values

    operator fun get(name: String): HostEntry? = entries[name]

    /** Applies a state that the host itself sent. */
    fun applyDirect(state: HostState, nowMs: Long) {
        val old = entries[state.hostName]
        if (old != null && old.state.epoch == state.epoch && old.state.version > state.version) return
        store(state.copy(isSuspected = false), nowMs).lastContactMs = nowMs
    }

    /** Applies the host load in a pulse; returns false when the host, its epoch or its version is unknown. */
    fun applyPulse(name: String, epoch: Long, version: Long, loadPermille: Long, nowMs: Long): Boolean {
        val entry = entries[name]?.takeIf { it.state.epoch == epoch && it.state.version == version } ?: return false
        store(entry.state.copy(loadPermille = loadPermille, isSuspected = false), nowMs).lastContactMs = nowMs
        return true
    }

    /** Applies a state from the digest of [source]; states of this process itself are ignored. */
    fun applyReport(source: String, state: HostState, nowMs: Long) {
        if (state.hostName == selfName) return
        val old = entries[state.hostName]
        if (old != null && !isNewer(state, old, nowMs)) {
            if (old.state.epoch == state.epoch) old.sources[source] = HostEntry.Report(nowMs, state.isSuspected)
            return
        }
        store(state.copy(isSuspected = false), nowMs).sources[source] = HostEntry.Report(nowMs, state.isSuspected)
    }

    /** Records a digest of [source], which renews its reports of all hosts that it lists. */
    fun renewSource(source: String, nowMs: Long) {
        entries.values.forEach { entry ->
            entry.sources.computeIfPresent(source) { _, old -> HostEntry.Report(nowMs, old.isSuspected) }
        }
    }

    fun removeReport(source: String, name: String) {
        entries[name]?.sources?.remove(source)
    }

    fun removeSource(source: String) {
        entries.values.forEach { it.sources.remove(source) }
    }

    /** Updates suspicions and removes hosts without a report in the last 10 s. */
    fun tick(nowMs: Long) {
        val expired = entries.values.filter { it.state.hostName != selfName && !hasReports(it, nowMs) }
        for (entry in expired) {
            entries.remove(entry.state.hostName)
            onReplaced(entry.state.hostName, entry.state.epoch)
        }
        for (entry in entries.values) {
            val isSuspected = entry.digestState(nowMs).isSuspected
            if (entry.reportedSuspicion != isSuspected) entry.changeNumber = ++changes
            entry.reportedSuspicion = isSuspected
        }
    }

    private fun hasReports(entry: HostEntry, nowMs: Long): Boolean {
        entry.sources.values.removeIf { nowMs - it.atMs >= REMOVE_AFTER_MS }
        return entry.isDirectlyReported(nowMs) || entry.sources.isNotEmpty()
    }

    private fun isNewer(state: HostState, old: HostEntry, nowMs: Long): Boolean = when {
        nowMs - old.lastContactMs < SUSPECT_AFTER_MS -> false
        old.state.epoch != state.epoch -> state.startedAtMs > old.state.startedAtMs
        else -> state.version >= old.state.version
    }

    private fun store(state: HostState, nowMs: Long): HostEntry {
        val entry = entries.getOrPut(state.hostName) { HostEntry(state) }
        val old = entry.state
        if (old.epoch != state.epoch) {
            entry.sources.clear()
            entry.lastContactMs = NEVER
            onReplaced(state.hostName, old.epoch)
        }
        entry.state = state
        if (entry.changeNumber == 0L ||
            isChanged(entry.reportedState, state, nowMs - entry.reportedMs >= MANIFEST_NUMBER_INTERVAL_MS)
        ) {
            entry.changeNumber = ++changes
            entry.reportedState = state
            entry.reportedMs = nowMs
        }
        return entry
    }

    private fun isChanged(old: HostState, new: HostState, isManifestNumberDue: Boolean): Boolean =
        abs(old.loadPermille - new.loadPermille) >= LOAD_STEP_PERMILLE ||
            (isManifestNumberDue && old.manifestNumber != new.manifestNumber) ||
            old != new.copy(
                version = old.version,
                manifestNumber = old.manifestNumber,
                loadPermille = old.loadPermille,
            )

    private companion object {
        // Smaller load changes do not affect rankings and would inflate the digests.
        const val LOAD_STEP_PERMILLE = 100
    }
}
