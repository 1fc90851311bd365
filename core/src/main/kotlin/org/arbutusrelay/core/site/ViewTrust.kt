package org.arbutusrelay.core.site

/**
 * Tells whether a state host's view of the hosts is complete enough to conclude that a region has none.
 *
 * It is not while the host reaches no majority of the state hosts, because its reports end one after the other then.
 * Nor is it for [SETTLE_MS] after that, after the start or after a pause, because reports come one after the other.
 * Times are monotonic, in milliseconds. Thread-safe.
 */
public class ViewTrust {
    private var sinceMs: Long? = null
    private var updatedAtMs = Long.MIN_VALUE / 2

    /** Records whether a majority of the state hosts is connected; to be called at least every 500 ms. */
    @Synchronized
    public fun update(hasMajority: Boolean, nowMs: Long) {
        val isPaused = nowMs - updatedAtMs > PAUSE_MS
        updatedAtMs = nowMs
        sinceMs = if (hasMajority) sinceMs.takeUnless { isPaused } ?: nowMs else null
    }

    /** Returns true if the view can be relied on at [nowMs]. */
    @Synchronized
    public fun isWhole(nowMs: Long): Boolean {
        val since = sinceMs ?: return false
        return nowMs - since >= SETTLE_MS && nowMs - updatedAtMs <= PAUSE_MS
    }

    public companion object {
        /** One report interval: by then each connected host has reported and another state host has sent a digest. */
        public const val SETTLE_MS: Long = 1_000

        /** Reports expire after 3.5 s; a shorter pause leaves at least one report of each host in time. */
        public const val PAUSE_MS: Long = 2_000
    }
}
