package org.arbutusrelay.daemon.site

/** The entry hosts that report to a state host and receive its messages. Thread-safe. */
internal class Subscriptions(private val times: SiteTimes) {
    private val entries = HashMap<String, Entry>()

    /**
     * Records a report; returns true if its host is not subscribed, or restarted since its last report.
     *
     * With [needsEveryPulse] false, the host gets most pulses from another state host.
     */
    @Synchronized
    fun record(hostName: String, epoch: Long, needsEveryPulse: Boolean, nowMs: Long): Boolean {
        val known = entries[hostName]?.takeIf { it.epoch == epoch }
        val entry = known ?: Entry(epoch).also { entries[hostName] = it }
        entry.reportedAtMs = nowMs
        entry.needsEveryPulse = needsEveryPulse
        return known == null
    }

    /** Returns the hosts to send the pulse with the number [sequence] to; [selfName] spreads those that get a part. */
    @Synchronized
    fun pulseReceivers(sequence: Long, selfName: String, nowMs: Long): Set<String> = active(nowMs).filterTo(HashSet()) {
        val offset = it.hashCode() + selfName.hashCode()
        entries.getValue(it).needsEveryPulse || (sequence + offset).mod(times.pulsesPerBackupPulse) == 0
    }

    /** Returns the hosts that have reported recently. */
    @Synchronized
    fun active(nowMs: Long): Set<String> {
        entries.values.removeIf { nowMs - it.reportedAtMs > times.subscriptionTimeoutMs }
        return entries.keys.toSet()
    }

    /** Returns true if the site state of [index] was not sent to a host yet, or long enough ago to be sent again. */
    @Synchronized
    fun isPushDue(hostName: String, index: Long, nowMs: Long): Boolean {
        val entry = entries[hostName] ?: return true
        return entry.pushedIndex < index || nowMs - entry.pushedAtMs >= times.statePushIntervalMs
    }

    /** Returns the subscribed hosts to which the site state of [index] was not sent yet. */
    @Synchronized
    fun behind(index: Long, nowMs: Long): Set<String> =
        active(nowMs).filterTo(HashSet()) { entries.getValue(it).pushedIndex < index }

    /** Records that the site state of [index] was sent to a host. */
    @Synchronized
    fun recordPush(hostName: String, index: Long, nowMs: Long) {
        entries[hostName]?.apply {
            pushedIndex = index
            pushedAtMs = nowMs
        }
    }

    private class Entry(val epoch: Long) {
        var reportedAtMs = 0L
        var needsEveryPulse = true
        var pushedIndex = 0L
        var pushedAtMs = 0L
    }
}
