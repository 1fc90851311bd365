package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.SitePulse

/**
 * Builds and applies pulses, which renew leases and loads that the receiver already knows.
 *
 * A pulse contains numbers only, so it is smaller than a digest of the same hosts and backend servers and quicker to
 * decode. What the receiver does not know, it requests as a digest.
 */
public object SitePulses {
    /** Returns the pulse of a host; loads older than [loadMaxAgeMs] are omitted. */
    public fun of(
        stateIndex: Long,
        hosts: HostRegistry,
        servers: BackendServerRegistry,
        nowMs: Long,
        loadMaxAgeMs: Long,
    ): SitePulse {
        val hostKeys = ArrayList<Long>()
        val hostAgesMs = ArrayList<Long>()
        hosts.forEachKey(nowMs) { key, ageMs ->
            hostKeys += key
            hostAgesMs += ageMs
        }
        val renewals = servers.renewals(nowMs)
        val loads = servers.loads(nowMs, loadMaxAgeMs)
        return SitePulse(
            stateIndex = stateIndex,
            hostKeys = hostKeys,
            hostAgesMs = hostAgesMs,
            serverKeys = renewals.map { it.key },
            serverVersions = renewals.map { it.version },
            serverAgesMs = renewals.map { it.ageMs },
            serverColdMs = renewals.map { it.coldMs },
            loadKeys = loads.map { checkNotNull(servers.keyOf(it.name)) { "no key of ${it.name}" } },
            running = loads.map { it.running },
            queued = loads.map { it.queued },
            loadAgesMs = loads.map { it.ageMs },
        )
    }

    /**
     * Applies [pulse]; returns false if it names a host or a backend server that is not known here.
     *
     * Rows without a value in every column are ignored.
     */
    public fun apply(
        pulse: SitePulse,
        hosts: HostRegistry,
        servers: BackendServerRegistry,
        nowMs: Long,
    ): Boolean {
        var isComplete = true
        for (i in 0 until minOf(pulse.hostKeys.size, pulse.hostAgesMs.size)) {
            if (!hosts.renew(pulse.hostKeys[i], pulse.hostAgesMs[i], nowMs)) isComplete = false
        }
        val serverRows =
            listOf(pulse.serverKeys, pulse.serverVersions, pulse.serverAgesMs, pulse.serverColdMs).minOf { it.size }
        for (i in 0 until serverRows) {
            val renewal = ServerRenewal(
                pulse.serverKeys[i],
                pulse.serverVersions[i],
                pulse.serverAgesMs[i],
                pulse.serverColdMs[i],
            )
            if (!servers.renew(renewal, nowMs)) isComplete = false
        }
        val loadRows = listOf(pulse.loadKeys, pulse.running, pulse.queued, pulse.loadAgesMs).minOf { it.size }
        for (i in 0 until loadRows) {
            servers.recordLoad(pulse.loadKeys[i], pulse.running[i], pulse.queued[i], nowMs - pulse.loadAgesMs[i])
        }
        return isComplete
    }
}
