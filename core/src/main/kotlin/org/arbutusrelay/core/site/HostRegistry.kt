package org.arbutusrelay.core.site

import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.SiteHost

/**
 * The hosts of a site as one host knows them, from their own reports and from digests of others.
 *
 * Of two process epochs of a host, the one heard of last is the living one; no time of day is compared, because clocks
 * may jump. Times are monotonic, in milliseconds. Calls come from one thread at a time.
 */
public class HostRegistry {
    private val entries = LinkedHashMap<String, Entry>()

    /** Takes the report of a host itself; returns true when what others decide by has changed. */
    public fun recordReport(host: HostState, nowMs: Long): Boolean = merge(host, 0, nowMs)

    /** Takes an entry of a digest; returns true when what others decide by has changed. */
    public fun merge(host: HostState, ageMs: Long, nowMs: Long): Boolean {
        val heardMs = nowMs - ageMs
        val old = entries[host.hostName]
        val isOlder = old != null &&
            if (old.host.epoch == host.epoch) host.version < old.host.version else heardMs <= old.heardMs
        if (isOlder || ageMs > forgetMs(host)) return false
        val isChanged = old == null || old.host.isLeaving != host.isLeaving || old.host.epoch != host.epoch
        val latestMs = if (old != null && old.host.epoch == host.epoch) maxOf(old.heardMs, heardMs) else heardMs
        entries[host.hostName] = Entry(host, latestMs)
        return isChanged
    }

    /** Forgets hosts that were silent for too long. */
    public fun tick(nowMs: Long) {
        entries.values.removeIf { nowMs - it.heardMs > forgetMs(it.host) }
    }

    /** Returns all hosts for a digest. */
    public fun hosts(nowMs: Long): List<SiteHost> =
        entries.values.map { SiteHost(it.host, (nowMs - it.heardMs).coerceAtLeast(0)) }

    /** Returns the hosts that were heard of within [LAPSE_MS]. */
    public fun live(nowMs: Long): List<HostState> =
        entries.values.filter { nowMs - it.heardMs <= LAPSE_MS }.map { it.host }

    private fun forgetMs(host: HostState) = if (host.isStateHost) STATE_HOST_MEMORY_MS else LAPSE_MS

    private class Entry(val host: HostState, val heardMs: Long)

    public companion object {
        /** Three reports, and short enough that callers are not sent to a dead host for long. */
        public const val LAPSE_MS: Long = 3_500

        /** A state host is dialled again for this long after it fell silent. */
        private const val STATE_HOST_MEMORY_MS = 60_000L
    }
}
