package org.arbutusrelay.core.relay

import org.arbutusrelay.core.route.Route

/**
 * Decides for how long an attempt that may be repeated may go without progress.
 *
 * A slow but sound stream stays below the timeout, and a stalled one is resumed elsewhere while its caller still waits.
 */
public object ProgressTimeout {
    private const val MIN_FIRST_BYTE_MS = 1_000L
    private const val MIN_IDLE_MS = 1_500L

    /** Multiple of the route's target latency within which an attempt must make its first progress. */
    private const val TARGET_LATENCY_FACTOR = 3L

    /** Multiple of the pause that the route allows between two events. */
    private const val PAUSE_FACTOR = 4L

    /** Returns the timeout in milliseconds since the start or the last progress of an attempt. */
    public fun timeoutMs(route: Route, hasProgressed: Boolean): Long = if (hasProgressed) {
        maxOf(MIN_IDLE_MS, route.targetPauseMs * PAUSE_FACTOR)
    } else {
        maxOf(MIN_FIRST_BYTE_MS, route.targetLatencyMs * TARGET_LATENCY_FACTOR)
    }
}
