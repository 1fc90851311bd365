package org.arbutusrelay.core.membership

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.MembershipTimes.DIGEST_TIMEOUT_MS
import org.arbutusrelay.core.membership.MembershipTimes.LEASE_MS
import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.NO_WORK_AFTER_MS
import org.arbutusrelay.core.membership.MembershipTimes.REMOVE_AFTER_MS
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns
import kotlin.math.abs
import kotlin.math.max

/** This process's record of one incarnation of a backend server. */
internal class BackendServerEntry(var state: BackendServerState) {
    val slot: Long = LoadSlots.slotOf(state)

    /** Numbers of the last change that requires a full state, and of the last reported load change. */
    var changeNumber: Long = 0
    var loadChangeNumber: Long = 0
    var reportedRunning: Long = state.running
    var reportedQueued: Long = state.queued

    /** Number of announcements that this process received from the server directly. */
    var renewals: Long = 0

    /** Sources that currently report the server, each with the expiry time of its report. */
    val sources = HashMap<String, Long>()

    /** Sources that have sent a full state of this incarnation and may therefore refer to it by slot. */
    val fullStateSources = HashSet<String>()

    /** Time of the last report that confirmed the lease. */
    var lastConfirmedMs: Long = NEVER
}

/**
 * Leases and incarnations of the backend servers of a region.
 *
 * A higher incarnation replaces a lower one, never the reverse. A leaving incarnation cannot become available
 * again.
 */
internal class BackendServerTable(private val invariants: Invariants) {
    private val entries = LinkedHashMap<String, BackendServerEntry>()
    private val bySlot = HashMap<Long, BackendServerEntry>()
    private val lastDigestMs = HashMap<String, Long>()
    private val incarnations = BoundedMap<String, Long>(MAX_REMEMBERED_SERVERS)
    private val departureMs = BoundedMap<Pair<String, Long>, Long>(MAX_REMEMBERED_SERVERS)
    private var changes = 0L

    /** Increases when a server is added or changed, starts to leave, or loses its last valid report. */
    val changeCount: Long get() = changes

    val all: Collection<BackendServerEntry> get() = entries.values

    operator fun get(name: String): BackendServerEntry? = entries[name]

    fun isStale(name: String, incarnation: Long): Boolean = incarnation < (incarnations[name] ?: incarnation)

    /** Applies [state] from [source], valid until [untilMs]; returns false when a newer incarnation is known. */
    fun applyReport(source: String, state: BackendServerState, untilMs: Long, nowMs: Long): Boolean {
        if (isStale(state.name, state.incarnation)) return false
        incarnations[state.name] = state.incarnation
        val old = entries[state.name]?.takeIf { it.state.incarnation == state.incarnation }
        val entry = old ?: BackendServerEntry(state).also { insert(it) }
        if (state.isLeaving) departureMs.putIfAbsent(state.name to state.incarnation, nowMs)
        if (old == null || state.version >= old.state.version) update(entry, state)
        entry.fullStateSources += source
        addSource(entry, source, untilMs)
        entry.lastConfirmedMs = nowMs
        return true
    }

    /** Applies loads from [source] to the servers for which it has sent a full state. */
    fun applyLoads(source: String, columns: LoadColumns, untilMs: Long, nowMs: Long) {
        LoadSlots.decode(columns) { slot, running, queued ->
            val entry = bySlot[slot]
            if (entry != null && source in entry.fullStateSources) {
                update(entry, entry.state.copy(running = running, queued = queued))
                addSource(entry, source, untilMs)
                entry.lastConfirmedMs = nowMs
            }
        }
    }

    /** Records a digest from [source]; its reports stay valid while its digests keep arriving. */
    fun renewSource(source: String, nowMs: Long) {
        lastDigestMs[source] = nowMs
    }

    fun removeReport(source: String, name: String) {
        entries[name]?.sources?.remove(source)
    }

    fun removeSource(source: String) {
        entries.values.forEach { it.sources.remove(source) }
    }

    /** Applies a leaving notice; returns false when it is a duplicate or names an older incarnation. */
    fun markLeaving(name: String, incarnation: Long, nowMs: Long): Boolean {
        if (isStale(name, incarnation) || departureMs.putIfAbsent(name to incarnation, nowMs) != null) return false
        incarnations[name] = incarnation
        entries[name]?.takeIf { it.state.incarnation == incarnation }?.let { update(it, it.state) }
        return true
    }

    /** Removes expired reports, and servers without a report whose lease was last confirmed 10 s ago or earlier. */
    fun tick(nowMs: Long) {
        for (entry in entries.values) {
            val before = entry.sources.size
            entry.sources.entries.removeIf { (source, untilMs) -> !isValid(source, untilMs, nowMs) }
            if (before > 0 && entry.sources.isEmpty()) changes++
        }
        entries.values.filter { it.sources.isEmpty() && nowMs - it.lastConfirmedMs >= REMOVE_AFTER_MS }
            .forEach(::remove)
    }

    /** Returns the servers that may receive new requests. */
    fun available(nowMs: Long): List<BackendServerEntry> = entries.values.filter { entry ->
        val isAvailable = !entry.state.isLeaving && entry.sources.any { (s, untilMs) -> isValid(s, untilMs, nowMs) }
        isAvailable && isWorkAllowed(entry, nowMs)
    }

    /**
     * Asserts the bound on new work after a lease lapsed or a leaving notice arrived.
     *
     * Uses the times of confirmation and departure, not the validity that [available] checks.
     */
    private fun isWorkAllowed(entry: BackendServerEntry, nowMs: Long): Boolean {
        val leftAtMs = departureMs[entry.state.name to entry.state.incarnation]
        val confirmedMs =
            max(entry.lastConfirmedMs, entry.sources.keys.maxOfOrNull { lastDigestMs[it] ?: NEVER } ?: NEVER)
        val isAllowed = (leftAtMs == null || nowMs - leftAtMs <= NO_WORK_AFTER_MS) &&
            nowMs - confirmedMs <= LEASE_MS + NO_WORK_AFTER_MS
        return invariants.check(Guarantee.NO_WORK_AFTER_LEAVING, isAllowed) {
            "${entry.state.name} incarnation ${entry.state.incarnation}: left at $leftAtMs ms, " +
                "lease confirmed at $confirmedMs ms, still available at $nowMs ms"
        }
    }

    private fun isValid(source: String, untilMs: Long, nowMs: Long): Boolean =
        nowMs < untilMs && (lastDigestMs[source]?.let { nowMs - it < DIGEST_TIMEOUT_MS } ?: true)

    private fun addSource(entry: BackendServerEntry, source: String, untilMs: Long) {
        if (entry.sources.put(source, untilMs) == null && entry.sources.size == 1) entry.changeNumber = ++changes
    }

    private fun insert(entry: BackendServerEntry) {
        entries[entry.state.name]?.let(::remove)
        entries[entry.state.name] = entry
        bySlot[entry.slot] = entry
    }

    private fun remove(entry: BackendServerEntry) {
        entries.remove(entry.state.name)
        bySlot.remove(entry.slot, entry)
    }

    private fun update(entry: BackendServerEntry, state: BackendServerState) {
        val isLeaving = state.isLeaving || (state.name to state.incarnation) in departureMs
        val old = entry.state
        entry.state = state.copy(isLeaving = isLeaving)
        val comparableState = entry.state.copy(
            version = old.version,
            running = old.running,
            queued = old.queued,
            leaseMs = old.leaseMs,
        )
        if (entry.changeNumber == 0L || comparableState != old) {
            entry.changeNumber = ++changes
        }
        val loadStep = max(1, state.capacity / LOAD_STEPS)
        if (abs(state.running - entry.reportedRunning) + abs(state.queued - entry.reportedQueued) >= loadStep) {
            entry.loadChangeNumber = ++changes
            entry.reportedRunning = state.running
            entry.reportedQueued = state.queued
        }
    }

    private companion object {
        // Load changes are reported from a sixteenth of the capacity; smaller ones do not affect routing decisions.
        const val LOAD_STEPS = 16L

        // Servers retained after their leases lapse; more than five times the engines of the largest region.
        const val MAX_REMEMBERED_SERVERS = 4_096
    }
}

/** A map that evicts its oldest entry once it holds more than [bound] entries. */
private class BoundedMap<K, V>(private val bound: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > bound
}
