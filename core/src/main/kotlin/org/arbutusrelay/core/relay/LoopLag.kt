package org.arbutusrelay.core.relay

/**
 * Estimates how long input may have waited before it was read, because the event loop was late.
 *
 * The loop runs a task every [intervalMs]. While the task is overdue, whatever is read may have arrived at any moment
 * since it was due. Without this, a starved host would give backend servers time that the caller no longer has.
 * Confined to the event loop.
 */
public class LoopLag(public val intervalMs: Long = 250) {
    private var dueMs = Long.MAX_VALUE

    /** Records that the task ran at [nowMs] and is due again after the interval. */
    public fun recordRun(nowMs: Long) {
        dueMs = nowMs + intervalMs
    }

    /** Returns the time in milliseconds for which the task has been overdue at [nowMs]. */
    public fun lagMs(nowMs: Long): Long = if (nowMs <= dueMs) 0 else nowMs - dueMs
}
