package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.BackendDeparture
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState

/**
 * The backend servers of a site as one host knows them, from announcements and from digests of other hosts.
 *
 * A higher incarnation of a name replaces a lower one, and at one address the highest incarnation is the living one:
 * an announcement that was delayed by a partition must not bring back a server whose address has passed to another.
 * Leaving is final for an incarnation. Times are monotonic, in milliseconds. Calls come from one thread at a time.
 */
public class BackendServerRegistry(private val leaseMs: Long) {
    private val entries = LinkedHashMap<String, Entry>()
    private val departures = LinkedHashMap<String, Departure>()

    /** Takes an announcement that arrived here; returns true when other hosts must learn of it at once. */
    public fun announce(state: BackendServerState, nowMs: Long): Boolean = learn(state, nowMs, nowMs)

    /** Takes a state from a digest, whose remaining lease tells its age; returns true when it changes decisions. */
    public fun merge(state: BackendServerState, nowMs: Long): Boolean =
        learn(state, nowMs - (leaseMs - state.leaseMs).coerceAtLeast(0), nowMs)

    /**
     * Takes the notice that [name] ends; returns its departure for other hosts.
     *
     * Without an [incarnation] the notice is about the newest one that is known here.
     */
    public fun recordDeparture(name: String, incarnation: Long?, nowMs: Long): BackendDeparture {
        val known = entries[name]
        val ended = incarnation ?: known?.state?.incarnation ?: 0
        storeDeparture(name, ended, nowMs)
        return BackendDeparture(name, ended, 0)
    }

    /** Takes a departure from a digest; returns true when it was new. */
    public fun merge(departure: BackendDeparture, nowMs: Long): Boolean =
        storeDeparture(departure.name, departure.incarnation, nowMs - departure.ageMs)

    /** Takes a load that an entry host saw. */
    public fun recordLoad(load: BackendLoad, nowMs: Long) {
        val entry = entries[load.name]?.takeIf { it.state.incarnation == load.incarnation } ?: return
        val seenMs = nowMs - load.ageMs
        if (seenMs < entry.loadMs) return
        entry.loadMs = seenMs
        entry.state = entry.state.copy(running = load.running, queued = load.queued)
    }

    /** Drops servers that were silent for longer than the lease and departures that nobody can contradict any more. */
    public fun tick(nowMs: Long) {
        entries.values.removeIf { nowMs - it.heardMs >= leaseMs }
        departures.values.removeIf { nowMs - it.atMs > DEPARTURE_MEMORY_MS }
    }

    /** Returns all servers for a digest or a routing table, with the lease and the cold time that remain. */
    public fun states(nowMs: Long): List<BackendServerState> = entries.values.map { stateOf(it, nowMs) }

    /** Returns the loads that were seen within [maxAgeMs]. */
    public fun loads(nowMs: Long, maxAgeMs: Long): List<BackendLoad> = entries.values
        .filter { nowMs - it.loadMs <= maxAgeMs }
        .map { BackendLoad(it.state.name, it.state.incarnation, it.state.running, it.state.queued, nowMs - it.loadMs) }

    /** Returns one server as [states] does, or null. */
    public fun state(name: String, nowMs: Long): BackendServerState? = entries[name]?.let { stateOf(it, nowMs) }

    /** Returns recent departures for a digest. */
    public fun departures(nowMs: Long): List<BackendDeparture> =
        departures.map { (name, it) -> BackendDeparture(name, it.incarnation, (nowMs - it.atMs).coerceAtLeast(0)) }

    /** Treats the servers of [availabilityZone] as cold until they announce themselves again. */
    public fun markCold(availabilityZone: String, coldMs: Long, nowMs: Long) {
        entries.values.filter { it.state.availabilityZone == availabilityZone }
            .forEach { it.coldUntilMs = maxOf(it.coldUntilMs, nowMs + coldMs) }
    }

    private fun stateOf(entry: Entry, nowMs: Long): BackendServerState = entry.state.copy(
        leaseMs = (leaseMs - (nowMs - entry.heardMs)).coerceIn(0, leaseMs),
        coldMs = (entry.coldUntilMs - nowMs).coerceAtLeast(0),
    )

    private fun learn(state: BackendServerState, heardMs: Long, nowMs: Long): Boolean {
        if (nowMs - heardMs >= leaseMs || isSuperseded(state)) return false
        val old = entries[state.name]?.takeIf { it.state.incarnation == state.incarnation }
        if (old != null && (state.version < old.state.version || !isSameServer(old.state, state))) return false
        entries.values.removeIf { it.state.address == state.address && it.state.name != state.name }
        return if (old == null) insert(state, heardMs, nowMs) else renew(old, state, heardMs, nowMs)
    }

    private fun insert(state: BackendServerState, heardMs: Long, nowMs: Long): Boolean {
        val entry = Entry(state.copy(isLeaving = state.isLeaving || hasDeparted(state)), heardMs)
        entry.coldUntilMs = nowMs + state.coldMs
        entries[state.name] = entry
        return true
    }

    private fun renew(entry: Entry, state: BackendServerState, heardMs: Long, nowMs: Long): Boolean {
        val old = entry.state
        val isLeaving = old.isLeaving || state.isLeaving || hasDeparted(state)
        val isColder = state.coldMs > 0 && nowMs + state.coldMs > entry.coldUntilMs + COLD_TOLERANCE_MS
        if (state.version > old.version) entry.coldUntilMs = nowMs + state.coldMs
        entry.heardMs = maxOf(entry.heardMs, heardMs)
        entry.state = state.copy(running = old.running, queued = old.queued, isLeaving = isLeaving)
        return isLeaving != old.isLeaving || isColder || state.address != old.address
    }

    /** An incarnation keeps its service and its place; an announcement with others is not its own. */
    private fun isSameServer(old: BackendServerState, new: BackendServerState): Boolean =
        old.service == new.service && old.availabilityZone == new.availabilityZone

    private fun hasDeparted(state: BackendServerState): Boolean =
        departures[state.name]?.let { it.incarnation >= state.incarnation } == true

    private fun isSuperseded(state: BackendServerState): Boolean {
        val sameName = entries[state.name]
        if (sameName != null && sameName.state.incarnation > state.incarnation) return true
        return entries.values.any {
            it.state.address == state.address && it.state.name != state.name && it.state.incarnation > state.incarnation
        }
    }

    private fun storeDeparture(name: String, incarnation: Long, atMs: Long): Boolean {
        val old = departures[name]
        if (old != null && old.incarnation >= incarnation) return false
        departures[name] = Departure(incarnation, atMs)
        val entry = entries[name] ?: return true
        if (entry.state.incarnation <= incarnation) entry.state = entry.state.copy(isLeaving = true)
        return true
    }

    private class Entry(var state: BackendServerState, var heardMs: Long) {
        var loadMs = Long.MIN_VALUE / 2
        var coldUntilMs = 0L
    }

    private class Departure(val incarnation: Long, val atMs: Long)

    private companion object {
        /** Two reports of the same cold phase differ by network delays only. */
        const val COLD_TOLERANCE_MS = 500L

        /** Announcements can be late by seconds; a partition can hold one back for longer than any lease. */
        const val DEPARTURE_MEMORY_MS = 60_000L
    }
}
