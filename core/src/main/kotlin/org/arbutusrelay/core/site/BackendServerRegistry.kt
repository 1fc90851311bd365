package org.arbutusrelay.core.site

import org.arbutusrelay.core.admission.HalfLife
import org.arbutusrelay.core.suspect.CrashId
import org.arbutusrelay.schema.message.BackendDeparture
import org.arbutusrelay.schema.message.BackendLoad
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServerLimit
import kotlin.math.roundToLong

/** The last announcement of an incarnation, as a pulse passes it on; [key] is a hash of its name and incarnation. */
public data class ServerRenewal(val key: Long, val version: Long, val ageMs: Long, val coldMs: Long)

/**
 * One host's view of the backend servers of a site, built from announcements and from digests of other hosts.
 *
 * A higher incarnation of a name replaces a lower one, and of several servers at one address only the highest
 * incarnation is kept: an announcement that a partition delayed must not restore a server whose address was reused.
 * Leaving is final for an incarnation. What servers state of themselves, as that they are cold, leaving or limited, is
 * kept by incarnation; a new one starts without. Times are monotonic, in milliseconds. Not thread-safe.
 */
public class BackendServerRegistry(private val leaseMs: Long) {
    private val entries = LinkedHashMap<String, Entry>()
    private val byKey = HashMap<Long, Entry>()
    private val departures = LinkedHashMap<String, Departure>()
    private val loadHalfLife = HalfLife(LOAD_HALF_LIFE_MS)

    /** Applies an announcement received by this host; returns true if it must be sent to other hosts at once. */
    public fun announce(state: BackendServerState, nowMs: Long): Boolean = store(state, nowMs, nowMs)

    /** Merges a state from a digest, aged by its remaining lease; returns true if routing is affected. */
    public fun merge(state: BackendServerState, nowMs: Long): Boolean {
        val isStored = store(state.copy(limit = null), nowMs - (leaseMs - state.leaseMs).coerceAtLeast(0), nowMs)
        val limit = state.limit ?: return isStored
        return merge(limit, nowMs) || isStored
    }

    /**
     * Records the leaving notice of [name] and returns the departure to send to other hosts.
     *
     * Without an [incarnation] the notice applies to the newest incarnation known to this host.
     */
    public fun recordDeparture(name: String, incarnation: Long?, nowMs: Long): BackendDeparture {
        val current = entries[name]
        val departedIncarnation = incarnation ?: current?.state?.incarnation ?: 0
        storeDeparture(name, departedIncarnation, nowMs)
        return BackendDeparture(name, departedIncarnation, 0)
    }

    /** Merges a departure from a digest; returns true if it was new. */
    public fun merge(departure: BackendDeparture, nowMs: Long): Boolean =
        storeDeparture(departure.name, departure.incarnation, nowMs - departure.ageMs)

    /** Records a load observed by an entry host, unless a newer one is known. */
    public fun recordLoad(load: BackendLoad, nowMs: Long) {
        val entry = entries[load.name]?.takeIf { it.state.incarnation == load.incarnation } ?: return
        entry.recordLoad(load.running, load.queued, nowMs - load.ageMs)
    }

    /**
     * Records the limit that a response to this host named; null if it named none.
     *
     * [limitPermille] is in thousandths of a request per second, and [sentMs] the time at which the request was sent.
     * Returns true if other hosts must be told at once; the others are told by [recentLimits].
     */
    public fun recordLimit(
        name: String,
        incarnation: Long,
        limitPermille: Long?,
        sentMs: Long,
        nowMs: Long,
    ): Boolean {
        val entry = entries[name]?.takeIf { it.state.incarnation == incarnation } ?: return false
        val old = entry.limit
        val new = LimitRecord.afterResponse(old, limitPermille, sentMs, nowMs)
        if (new === old) return false
        entry.limit = new
        entry.limitObservedAtMs = nowMs
        return LimitRecord.isChange(old, new)
    }

    /** Merges a limit of which another host has told; returns true if it must be passed on. */
    public fun merge(limit: ServerLimit, nowMs: Long): Boolean {
        val entry = entries[limit.name]?.takeIf { it.state.incarnation == limit.incarnation } ?: return false
        val old = entry.limit
        val new = LimitRecord.merge(old, limit.toRecord(nowMs))
        if (new == old) return false
        entry.limit = new
        val isDue = LimitRecord.isChange(old, new) || nowMs - entry.limitPassedOnAtMs >= LIMIT_RENEWAL_MS
        if (isDue) entry.limitPassedOnAtMs = nowMs
        return isDue
    }

    /** Returns the limits that responses to this host named, or ceased to name, in the last [maxAgeMs]. */
    public fun recentLimits(maxAgeMs: Long, nowMs: Long): List<ServerLimit> = entries.values
        .filter { nowMs - it.limitObservedAtMs <= maxAgeMs }
        .mapNotNull { it.limit?.toMessage(it.state.name, it.state.incarnation, nowMs) }

    /**
     * Renews the incarnation that [renewal] of a pulse stands for; returns false if this host does not know it.
     *
     * A renewal without a newer announcement changes nothing but the lease.
     */
    public fun renew(renewal: ServerRenewal, nowMs: Long): Boolean {
        val entry = byKey[renewal.key] ?: return false
        val lastSeenMs = nowMs - renewal.ageMs
        if (renewal.ageMs >= leaseMs || renewal.version < entry.state.version) return true
        if (renewal.version > entry.state.version) {
            entry.coldUntilMs = nowMs + renewal.coldMs
            entry.state = entry.state.copy(version = renewal.version)
        }
        entry.lastSeenMs = maxOf(entry.lastSeenMs, lastSeenMs)
        return true
    }

    /** Records the load in column form of the incarnation that [key] stands for, unless a newer one is known. */
    public fun recordLoad(key: Long, running: Long, queued: Long, observedMs: Long) {
        byKey[key]?.recordLoad(running, queued, observedMs)
    }

    /** Returns the renewals of all servers for a pulse. */
    public fun renewals(nowMs: Long): List<ServerRenewal> = entries.values.map {
        val ageMs = (nowMs - it.lastSeenMs).coerceAtLeast(0)
        ServerRenewal(it.key, it.state.version, ageMs, (it.coldUntilMs - nowMs).coerceAtLeast(0))
    }

    /** Returns true if a server that is not leaving was not announced for [overdueMs], as far as this host knows. */
    public fun hasOverdue(overdueMs: Long, nowMs: Long): Boolean =
        entries.values.any { !it.state.isLeaving && nowMs - it.lastSeenMs >= overdueMs }

    /** Returns the time of the last announcement of those servers of [crashes] whose incarnation is the current one. */
    public fun lastSeenMs(crashes: Set<CrashId>): Map<CrashId, Long> = crashes.mapNotNull { id ->
        entries[id.backendServer]?.takeIf { it.state.incarnation == id.incarnation }?.let { id to it.lastSeenMs }
    }.toMap()

    /** Returns the key that stands for the current incarnation of [name] in a pulse, or null if it is unknown. */
    public fun keyOf(name: String): Long? = entries[name]?.key

    /** Removes servers whose lease expired, and departures too old for a delayed announcement to contradict. */
    public fun tick(nowMs: Long) {
        removeIf { nowMs - it.lastSeenMs >= leaseMs }
        departures.values.removeIf { nowMs - it.atMs > DEPARTURE_RETENTION_MS }
    }

    /**
     * Returns all servers for a digest or a routing table, with their remaining lease and cold time.
     *
     * Loads decay from their observation on: a server that gets no requests answers none, so that a load which made all
     * hosts avoid it would never be corrected.
     */
    public fun states(nowMs: Long): List<BackendServerState> = entries.values.map { stateOf(it, nowMs) }

    /** Returns the loads observed within the last [maxAgeMs]; one recorded after [nowMs] was read has age 0. */
    public fun loads(nowMs: Long, maxAgeMs: Long): List<BackendLoad> = entries.values
        .filter { nowMs - it.loadAtMs <= maxAgeMs }
        .map {
            val ageMs = (nowMs - it.loadAtMs).coerceAtLeast(0)
            BackendLoad(it.state.name, it.state.incarnation, it.state.running, it.state.queued, ageMs)
        }

    /** Returns the state of one server, as in [states], or null if it is unknown. */
    public fun state(name: String, nowMs: Long): BackendServerState? = entries[name]?.let { stateOf(it, nowMs) }

    /** Returns the recent departures for a digest. */
    public fun departures(nowMs: Long): List<BackendDeparture> =
        departures.map { (name, it) -> BackendDeparture(name, it.incarnation, (nowMs - it.atMs).coerceAtLeast(0)) }

    /** Marks the servers of [availabilityZone] as cold for [coldMs], or until their next announcement. */
    public fun markCold(availabilityZone: String, coldMs: Long, nowMs: Long) {
        entries.values.filter { it.state.availabilityZone == availabilityZone }
            .forEach { it.coldUntilMs = maxOf(it.coldUntilMs, nowMs + coldMs) }
    }

    private fun stateOf(entry: Entry, nowMs: Long): BackendServerState {
        val weight = loadHalfLife.weight(entry.loadAtMs, nowMs)
        return entry.state.copy(
            running = (entry.state.running * weight).roundToLong(),
            queued = (entry.state.queued * weight).roundToLong(),
            leaseMs = (leaseMs - (nowMs - entry.lastSeenMs)).coerceIn(0, leaseMs),
            coldMs = (entry.coldUntilMs - nowMs).coerceAtLeast(0),
            limit = entry.limit?.toMessage(entry.state.name, entry.state.incarnation, nowMs),
        )
    }

    private fun store(state: BackendServerState, lastSeenMs: Long, nowMs: Long): Boolean {
        if (nowMs - lastSeenMs >= leaseMs || isSuperseded(state)) return false
        val old = entries[state.name]?.takeIf { it.state.incarnation == state.incarnation }
        if (old != null && (state.version < old.state.version || !isSameServer(old.state, state))) return false
        removeIf { it.state.address == state.address && it.state.name != state.name }
        return if (old == null) insert(state, lastSeenMs, nowMs) else renew(old, state, lastSeenMs, nowMs)
    }

    private fun insert(state: BackendServerState, lastSeenMs: Long, nowMs: Long): Boolean {
        val entry = Entry(state.copy(isLeaving = state.isLeaving || hasDeparted(state)), lastSeenMs)
        entry.coldUntilMs = nowMs + state.coldMs
        entries.put(state.name, entry)?.let { byKey.remove(it.key) }
        byKey[entry.key] = entry
        return true
    }

    private fun removeIf(isRemoved: (Entry) -> Boolean) {
        entries.values.filter(isRemoved).forEach {
            entries.remove(it.state.name)
            byKey.remove(it.key)
        }
    }

    private fun renew(entry: Entry, state: BackendServerState, lastSeenMs: Long, nowMs: Long): Boolean {
        val old = entry.state
        val isLeaving = old.isLeaving || state.isLeaving || hasDeparted(state)
        val isColder = state.coldMs > 0 && nowMs + state.coldMs > entry.coldUntilMs + COLD_TOLERANCE_MS
        if (state.version > old.version) entry.coldUntilMs = nowMs + state.coldMs
        entry.lastSeenMs = maxOf(entry.lastSeenMs, lastSeenMs)
        entry.state = state.copy(running = old.running, queued = old.queued, isLeaving = isLeaving)
        return isLeaving != old.isLeaving || isColder || state.address != old.address
    }

    /**
     * An incarnation never changes its service, zone or software version, so an announcement that does is from another
     * server.
     */
    private fun isSameServer(old: BackendServerState, new: BackendServerState): Boolean =
        old.service == new.service && old.availabilityZone == new.availabilityZone &&
            old.softwareVersion == new.softwareVersion

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

    private class Entry(var state: BackendServerState, var lastSeenMs: Long) {
        val key = PulseKeys.of(state)
        var loadAtMs = Long.MIN_VALUE / 2
        var coldUntilMs = 0L
        var limit: LimitRecord? = null

        /** Time of the last response to this host that told something of the limit. */
        var limitObservedAtMs = Long.MIN_VALUE / 2

        /** Time at which another host's statement on the limit was last passed on. */
        var limitPassedOnAtMs = Long.MIN_VALUE / 2

        fun recordLoad(running: Long, queued: Long, observedMs: Long) {
            if (observedMs < loadAtMs) return
            loadAtMs = observedMs
            if (state.running != running || state.queued != queued) {
                state = state.copy(running = running, queued = queued)
            }
        }
    }

    private class Departure(val incarnation: Long, val atMs: Long)

    private companion object {
        /** About the time of a response, within which a server that gets no more requests becomes idle. */
        const val LOAD_HALF_LIFE_MS = 1_500.0

        /** Reports of the same cold period differ by no more than network delays. */
        const val COLD_TOLERANCE_MS = 500L

        /** Hosts hear of an unchanged limit at this interval, often enough that it doesn't expire. */
        const val LIMIT_RENEWAL_MS = 2_000L

        /** Announcements may arrive seconds late, and a partition may delay one for longer than any lease. */
        const val DEPARTURE_RETENTION_MS = 60_000L
    }
}
