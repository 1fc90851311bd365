package org.arbutusrelay.core.membership

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.MembershipTimes.DIGEST_FRESH_MS
import org.arbutusrelay.core.membership.MembershipTimes.LEASE_MS
import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.core.membership.MembershipTimes.NO_WORK_AFTER_MS
import org.arbutusrelay.core.membership.MembershipTimes.REMOVE_AFTER_MS
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.LoadColumns
import kotlin.math.abs
import kotlin.math.max

/** What one process knows of one incarnation of a backend server. */
internal class BackendServerEntry(var state: BackendServerState) {
    val slot: Long = LoadSlots.slotOf(state)

    /** Number of the last change that is told as a full state, and of the last change of load. */
    var change: Long = 0
    var loadChange: Long = 0
    var toldRunning: Long = state.running
    var toldQueued: Long = state.queued

    /** Counts announcements that arrived at this process itself. */
    var renewals: Long = 0

    /** Who reports the server, with the end of that report's validity. */
    val sources = HashMap<String, Long>()

    /** Who has ever told this incarnation in full, and may therefore name it by its slot. */
    val toldBy = HashSet<String>()

    /** When a source proved last that the lease was held. */
    var provenMs: Long = NEVER
}

/**
 * Leases and incarnations of the backend servers of a region.
 *
 * A higher incarnation replaces a lower one and never the other way round. Leaving is final for an incarnation.
 */
internal class BackendServerTable(private val invariants: Invariants) {
    private val entries = LinkedHashMap<String, BackendServerEntry>()
    private val bySlot = HashMap<Long, BackendServerEntry>()
    private val digestMs = HashMap<String, Long>()
    private val incarnations = BoundedMap<String, Long>(MEMORY)
    private val leftMs = BoundedMap<Pair<String, Long>, Long>(MEMORY)
    private var changes = 0L

    /** Increases when a server appears, changes, leaves or lapses. */
    val changeCount: Long get() = changes

    val all: Collection<BackendServerEntry> get() = entries.values

    operator fun get(name: String): BackendServerEntry? = entries[name]

    fun isStale(name: String, incarnation: Long): Boolean = incarnation < (incarnations[name] ?: incarnation)

    /** Takes [state] from [source], valid until [untilMs]; false when a newer incarnation is known. */
    fun learn(source: String, state: BackendServerState, untilMs: Long, nowMs: Long): Boolean {
        if (isStale(state.name, state.incarnation)) return false
        incarnations[state.name] = state.incarnation
        val old = entries[state.name]?.takeIf { it.state.incarnation == state.incarnation }
        val entry = old ?: BackendServerEntry(state).also { insert(it) }
        if (state.isLeaving) leftMs.putIfAbsent(state.name to state.incarnation, nowMs)
        if (old == null || state.version >= old.state.version) update(entry, state)
        entry.toldBy += source
        addSource(entry, source, untilMs)
        entry.provenMs = nowMs
        return true
    }

    /** Takes loads from [source], for servers that it has listed before. */
    fun learnLoads(source: String, columns: LoadColumns, untilMs: Long, nowMs: Long) {
        LoadSlots.decode(columns) { slot, running, queued ->
            val entry = bySlot[slot]
            if (entry != null && source in entry.toldBy) {
                update(entry, entry.state.copy(running = running, queued = queued))
                addSource(entry, source, untilMs)
                entry.provenMs = nowMs
            }
        }
    }

    /** Notes a digest from [source]; its servers stay valid while its digests keep coming. */
    fun renewSource(source: String, nowMs: Long) {
        digestMs[source] = nowMs
    }

    fun forget(source: String, name: String) {
        entries[name]?.sources?.remove(source)
    }

    fun forgetSource(source: String) {
        entries.values.forEach { it.sources.remove(source) }
    }

    /** Takes a leaving notice; false when it was known or names another incarnation than the newest. */
    fun leave(name: String, incarnation: Long, nowMs: Long): Boolean {
        if (isStale(name, incarnation) || leftMs.putIfAbsent(name to incarnation, nowMs) != null) return false
        incarnations[name] = incarnation
        entries[name]?.takeIf { it.state.incarnation == incarnation }?.let { update(it, it.state) }
        return true
    }

    /** Drops reports that are no longer valid, and servers that have lapsed for 10 s. */
    fun tick(nowMs: Long) {
        for (entry in entries.values) {
            val before = entry.sources.size
            entry.sources.entries.removeIf { (source, untilMs) -> !isValid(source, untilMs, nowMs) }
            if (before > 0 && entry.sources.isEmpty()) changes++
        }
        entries.values.filter { it.sources.isEmpty() && nowMs - it.provenMs >= REMOVE_AFTER_MS }.forEach(::remove)
    }

    /** Returns the servers that may take new work. */
    fun available(nowMs: Long): List<BackendServerEntry> = entries.values.filter { entry ->
        val isAvailable = !entry.state.isLeaving && entry.sources.any { (s, untilMs) -> isValid(s, untilMs, nowMs) }
        isAvailable && isWorkAllowed(entry, nowMs)
    }

    /** Asserts the bound of new work by the times of proof and of leaving, not by what [available] decides with. */
    private fun isWorkAllowed(entry: BackendServerEntry, nowMs: Long): Boolean {
        val leftAtMs = leftMs[entry.state.name to entry.state.incarnation]
        val provenMs = max(entry.provenMs, entry.sources.keys.maxOfOrNull { digestMs[it] ?: NEVER } ?: NEVER)
        val isAllowed = (leftAtMs == null || nowMs - leftAtMs <= NO_WORK_AFTER_MS) &&
            nowMs - provenMs <= LEASE_MS + NO_WORK_AFTER_MS
        return invariants.check(Guarantee.NO_WORK_AFTER_LEAVING, isAllowed) {
            "${entry.state.name} incarnation ${entry.state.incarnation}: left at $leftAtMs ms, " +
                "proven at $provenMs ms, offered at $nowMs ms"
        }
    }

    private fun isValid(source: String, untilMs: Long, nowMs: Long): Boolean =
        nowMs < untilMs && (digestMs[source]?.let { nowMs - it < DIGEST_FRESH_MS } ?: true)

    private fun addSource(entry: BackendServerEntry, source: String, untilMs: Long) {
        if (entry.sources.put(source, untilMs) == null && entry.sources.size == 1) entry.change = ++changes
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
        val isLeaving = state.isLeaving || (state.name to state.incarnation) in leftMs
        val old = entry.state
        entry.state = state.copy(isLeaving = isLeaving)
        val neutral = entry.state.copy(
            version = old.version,
            running = old.running,
            queued = old.queued,
            leaseMs = old.leaseMs,
        )
        if (entry.change == 0L || neutral != old) {
            entry.change = ++changes
        }
        val step = max(1, state.capacity / LOAD_STEPS)
        if (abs(state.running - entry.toldRunning) + abs(state.queued - entry.toldQueued) >= step) {
            entry.loadChange = ++changes
            entry.toldRunning = state.running
            entry.toldQueued = state.queued
        }
    }

    private companion object {
        // A load is told when it moved by a sixteenth of the capacity; less does not change a routing decision.
        const val LOAD_STEPS = 16L

        // Names that are remembered after they lapsed; more than five times the engines of the largest region.
        const val MEMORY = 4_096
    }
}

/** A map that forgets the entry that was added first once it holds more than [bound]. */
private class BoundedMap<K, V>(private val bound: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > bound
}
