package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.MANIFEST_NUMBER_MS
import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.REMOVE_AFTER_MS
import org.arbutusrelay.core.membership.MembershipTimes.SUSPECT_AFTER_MS
import org.arbutusrelay.schema.message.HostState
import kotlin.math.abs

/** What one process knows of one host. */
internal class HostEntry(var state: HostState) {
    /** Number of the last change that digests tell; 0 before the first. */
    var change: Long = 0

    /** The state of that change, and its time. */
    var told: HostState = state
    var toldMs: Long = NEVER

    /** When the host itself was heard last. */
    var directMs: Long = NEVER

    /** Digest senders that list the host. */
    val sources = HashMap<String, Report>()

    /** Suspicion that digests told last. */
    var toldSuspicion: Boolean = false

    fun isDirect(nowMs: Long): Boolean = nowMs - directMs < REMOVE_AFTER_MS

    /** Returns true when neither the host itself nor a digest says that it is alive. */
    fun isSuspected(nowMs: Long): Boolean = isUnheard(nowMs) && sources.values.all { it.isSuspected }

    /**
     * Returns the state for digests.
     *
     * A suspicion of a host that sends heartbeats here depends only on these: two aggregators that repeated each
     * other's view would never suspect a host.
     */
    fun report(nowMs: Long): HostState =
        state.copy(isSuspected = if (isDirect(nowMs)) isUnheard(nowMs) else isSuspected(nowMs))

    private fun isUnheard(nowMs: Long) = nowMs - directMs >= SUSPECT_AFTER_MS

    /** What one digest sender says: when it sent its last digest, and whether it suspects the host. */
    class Report(val atMs: Long, val isSuspected: Boolean)
}

/**
 * The hosts of the own region.
 *
 * What a host says itself always wins. States from digests are ordered by process start and then by version, so that
 * an old epoch that a slow aggregator still reports does not replace a newer one.
 */
internal class HostTable(private val selfName: String, private val onReplaced: (String, Long) -> Unit) {
    private val entries = LinkedHashMap<String, HostEntry>()
    private var changes = 0L

    val all: Collection<HostEntry> get() = entries.values

    operator fun get(name: String): HostEntry? = entries[name]

    /** Takes a state that the host itself sent. */
    fun hear(state: HostState, nowMs: Long) {
        val old = entries[state.hostName]
        if (old != null && old.state.epoch == state.epoch && old.state.version > state.version) return
        store(state.copy(isSuspected = false), nowMs).directMs = nowMs
    }

    /** Takes a heartbeat that carries nothing but a load; false when the host or the version is not known. */
    fun hearPulse(name: String, epoch: Long, version: Long, loadPermille: Long, nowMs: Long): Boolean {
        val entry = entries[name]?.takeIf { it.state.epoch == epoch && it.state.version == version } ?: return false
        store(entry.state.copy(loadPermille = loadPermille, isSuspected = false), nowMs).directMs = nowMs
        return true
    }

    /** Takes a state from the digest of [source]; the state of this process itself is never taken from others. */
    fun learn(source: String, state: HostState, nowMs: Long) {
        if (state.hostName == selfName) return
        val old = entries[state.hostName]
        if (old != null && !isNewer(state, old, nowMs)) {
            if (old.state.epoch == state.epoch) old.sources[source] = HostEntry.Report(nowMs, state.isSuspected)
            return
        }
        store(state.copy(isSuspected = false), nowMs).sources[source] = HostEntry.Report(nowMs, state.isSuspected)
    }

    /** Notes a digest of [source], which renews all hosts that it lists. */
    fun renewSource(source: String, nowMs: Long) {
        entries.values.forEach { entry ->
            entry.sources.computeIfPresent(source) { _, old -> HostEntry.Report(nowMs, old.isSuspected) }
        }
    }

    fun forget(source: String, name: String) {
        entries[name]?.sources?.remove(source)
    }

    fun forgetSource(source: String) {
        entries.values.forEach { it.sources.remove(source) }
    }

    /** Updates suspicions and removes hosts that nobody has reported for 10 s. */
    fun tick(nowMs: Long) {
        val gone = entries.values.filter { it.state.hostName != selfName && !isKnown(it, nowMs) }
        for (entry in gone) {
            entries.remove(entry.state.hostName)
            onReplaced(entry.state.hostName, entry.state.epoch)
        }
        for (entry in entries.values) {
            val isSuspected = entry.report(nowMs).isSuspected
            if (entry.toldSuspicion != isSuspected) entry.change = ++changes
            entry.toldSuspicion = isSuspected
        }
    }

    private fun isKnown(entry: HostEntry, nowMs: Long): Boolean {
        entry.sources.values.removeIf { nowMs - it.atMs >= REMOVE_AFTER_MS }
        return entry.isDirect(nowMs) || entry.sources.isNotEmpty()
    }

    private fun isNewer(state: HostState, old: HostEntry, nowMs: Long): Boolean = when {
        nowMs - old.directMs < SUSPECT_AFTER_MS -> false
        old.state.epoch != state.epoch -> state.startedAtMs > old.state.startedAtMs
        else -> state.version >= old.state.version
    }

    private fun store(state: HostState, nowMs: Long): HostEntry {
        val entry = entries.getOrPut(state.hostName) { HostEntry(state) }
        val old = entry.state
        if (old.epoch != state.epoch) {
            entry.sources.clear()
            entry.directMs = NEVER
            onReplaced(state.hostName, old.epoch)
        }
        entry.state = state
        if (entry.change == 0L || isChanged(entry.told, state, nowMs - entry.toldMs >= MANIFEST_NUMBER_MS)) {
            entry.change = ++changes
            entry.told = state
            entry.toldMs = nowMs
        }
        return entry
    }

    private fun isChanged(old: HostState, new: HostState, isManifestDue: Boolean): Boolean =
        abs(old.loadPermille - new.loadPermille) >= LOAD_STEP_PERMILLE ||
            (isManifestDue && old.manifestNumber != new.manifestNumber) ||
            old != new.copy(
                version = old.version,
                manifestNumber = old.manifestNumber,
                loadPermille = old.loadPermille,
            )

    private companion object {
        // Smaller changes of load do not change a ranking, and would fill the digests.
        const val LOAD_STEP_PERMILLE = 100
    }
}
