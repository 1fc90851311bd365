package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.consensus.LeaderClock

/** Generates ledger time on the leader; see [LeaderClock]. */
public class LedgerClock {
    private val clock = LeaderClock()

    /** Returns the ledger time in milliseconds at [nowMs] in [term], for a leader whose applied state is [state]. */
    public fun atMs(term: Long, state: LedgerState, nowMs: Long): Long = clock.atMs(term, state.timeMs, nowMs)
}
