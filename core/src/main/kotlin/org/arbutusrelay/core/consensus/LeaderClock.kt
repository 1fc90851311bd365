package org.arbutusrelay.core.consensus

/**
 * Assigns the time of a group on its leader.
 *
 * Group time is the leader's monotonic time plus an offset that is set when a term begins, so that it goes on from the
 * last applied command. It stands still while there is no leader, which only lengthens what is measured by it.
 */
public class LeaderClock {
    private var term = -1L
    private var offsetMs = 0L
    private var lastMs = 0L

    /** Returns the group time in milliseconds at [nowMs] in [term], for a leader that has applied up to [appliedMs]. */
    @Synchronized
    public fun atMs(term: Long, appliedMs: Long, nowMs: Long): Long {
        if (term != this.term) {
            this.term = term
            // A host that leads again goes on from the last time it assigned. From an older applied time its
            // clock would stand still until it had caught up, and overdue work would wait for that.
            offsetMs = maxOf(lastMs, appliedMs) - nowMs
        }
        lastMs = maxOf(lastMs, appliedMs, nowMs + offsetMs)
        return lastMs
    }
}
