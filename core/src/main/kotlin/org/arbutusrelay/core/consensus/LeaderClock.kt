package org.arbutusrelay.core.consensus

/**
 * Generates group time on the leader.
 *
 * Group time is the monotonic time of the leader plus an offset. The offset is set at the start of a term, so that
 * group time continues from the last applied command. It does not advance without a leader, which only extends
 * durations measured in it.
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
            // A host that leads again continues from the last time it generated. If it continued from an older applied
            // time, its clock would stall until it reached lastMs, which would delay overdue work.
            offsetMs = maxOf(lastMs, appliedMs) - nowMs
        }
        lastMs = maxOf(lastMs, appliedMs, nowMs + offsetMs)
        return lastMs
    }
}
