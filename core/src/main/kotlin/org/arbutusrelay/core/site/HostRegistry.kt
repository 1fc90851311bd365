package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteHost

/**
 * One host's view of the hosts of a site, built from their own reports and from digests of other hosts.
 *
 * Of two process epochs of a host, the one reported last is current; wall-clock times are not compared, because clocks
 * may jump. Times are monotonic, in milliseconds. Not thread-safe.
 */
public class HostRegistry {
    private val entries = LinkedHashMap<String, Entry>()
    private val byKey = HashMap<Long, Entry>()

    /** Records a host's own report; returns true if its state is new to this host. */
    public fun recordReport(host: HostState, nowMs: Long): Boolean = merge(host, 0, nowMs)

    /** Merges an entry of a digest; returns true if its state is new to this host. */
    public fun merge(host: HostState, ageMs: Long, nowMs: Long): Boolean {
        val lastSeenMs = nowMs - ageMs
        val old = entries[host.hostName]
        val isOutdated = old != null &&
            if (old.host.epoch == host.epoch) host.version < old.host.version else lastSeenMs <= old.lastSeenMs
        if (isOutdated || ageMs > retentionMs(host)) return false
        val isChanged = old == null || old.host.version != host.version || old.host.epoch != host.epoch
        val latestMs =
            if (old != null && old.host.epoch == host.epoch) maxOf(old.lastSeenMs, lastSeenMs) else lastSeenMs
        if (old == null || isChanged) put(Entry(host, latestMs)) else old.lastSeenMs = latestMs
        return isChanged
    }

    /** Renews the host that [key] of a pulse stands for; returns false if this host does not know its state. */
    public fun renew(key: Long, ageMs: Long, nowMs: Long): Boolean {
        val entry = byKey[key] ?: return false
        if (ageMs <= retentionMs(entry.host)) entry.lastSeenMs = maxOf(entry.lastSeenMs, nowMs - ageMs)
        return true
    }

    /** Calls [action] with the key and the age of the last report of each host, for a pulse. */
    public fun forEachKey(nowMs: Long, action: (key: Long, ageMs: Long) -> Unit): Unit =
        entries.values.forEach { action(it.key, (nowMs - it.lastSeenMs).coerceAtLeast(0)) }

    /** Removes hosts whose last report exceeds the retention time. */
    public fun tick(nowMs: Long) {
        val expired = entries.values.filter { nowMs - it.lastSeenMs > retentionMs(it.host) }
        expired.forEach {
            entries.remove(it.host.hostName)
            byKey.remove(it.key)
        }
    }

    /** Returns all hosts for a digest. */
    public fun hosts(nowMs: Long): List<SiteHost> =
        entries.values.map { SiteHost(it.host, (nowMs - it.lastSeenMs).coerceAtLeast(0)) }

    /** Returns the hosts with a report within the last [REPORT_TIMEOUT_MS]. */
    public fun live(nowMs: Long): List<HostState> =
        entries.values.filter { nowMs - it.lastSeenMs <= REPORT_TIMEOUT_MS }.map { it.host }

    private fun put(entry: Entry) {
        entries.put(entry.host.hostName, entry)?.let { byKey.remove(it.key) }
        byKey[entry.key] = entry
    }

    private fun retentionMs(host: HostState) = if (host.isStateHost) STATE_HOST_RETENTION_MS else REPORT_TIMEOUT_MS

    private class Entry(val host: HostState, var lastSeenMs: Long) {
        val key = PulseKeys.of(host)
    }

    public companion object {
        /** Three report intervals, short enough that callers are not directed to a dead host for long. */
        public const val REPORT_TIMEOUT_MS: Long = 3_500

        /** Connections to a state host are retried for this long after its last report. */
        private const val STATE_HOST_RETENTION_MS = 60_000L
    }
}
