package org.arbutusrelay.daemon.site

/** The entry hosts that report to a state host and receive its messages. Thread-safe. */
internal class Subscriptions(private val times: SiteTimes) {
    private val entries = HashMap<String, Entry>()

    /** Records a report; returns true if its host is not subscribed, or restarted since its last report. */
    @Synchronized
    fun record(hostName: String, epoch: Long, nowMs: Long): Boolean {
        val known = entries[hostName]?.takeIf { it.epoch == epoch }
        if (known == null) entries[hostName] = Entry(epoch, nowMs) else known.reportedAtMs = nowMs
        return known == null
    }

    /** Returns the hosts that have reported recently. */
    @Synchronized
    fun active(nowMs: Long): Set<String> {
        entries.values.removeIf { nowMs - it.reportedAtMs > times.subscriptionTimeoutMs }
        return entries.keys.toSet()
    }

    /** Returns true if a host that lags behind may be sent the site state again. */
    @Synchronized
    fun isPushDue(hostName: String, nowMs: Long): Boolean =
        nowMs - (entries[hostName]?.statePushedAtMs ?: NEVER_MS) >= times.statePushIntervalMs

    /** Records that the site state was sent to a host. */
    @Synchronized
    fun recordPush(hostName: String, nowMs: Long) {
        entries[hostName]?.statePushedAtMs = nowMs
    }

    private class Entry(val epoch: Long, var reportedAtMs: Long) {
        var statePushedAtMs = NEVER_MS
    }

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
