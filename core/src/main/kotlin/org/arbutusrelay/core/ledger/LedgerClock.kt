package org.arbutusrelay.core.ledger

/**
 * Assigns ledger time on the leader.
 *
 * Ledger time is the leader's monotonic time plus an offset that is set when a term begins, so that it goes on from the
 * last applied command. It stands still while there is no leader, which only lengthens retention and grace.
 */
public class LedgerClock {
    private var term = -1L
    private var offsetMs = 0L
    private var lastMs = 0L

    /** Returns the ledger time, in milliseconds, at [nowMs] in [term] for a leader that has applied up to [state]. */
    @Synchronized
    public fun atMs(term: Long, state: LedgerState, nowMs: Long): Long {
        if (term != this.term) {
            this.term = term
            // A host that leads again goes on from the last time it assigned. From an older applied time its
            // clock would stand still until it had caught up, and overdue grants would stay open.
            offsetMs = maxOf(lastMs, state.timeMs) - nowMs
        }
        lastMs = maxOf(lastMs, state.timeMs, nowMs + offsetMs)
        return lastMs
    }
}
