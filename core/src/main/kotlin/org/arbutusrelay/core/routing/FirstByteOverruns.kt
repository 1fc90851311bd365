package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap

/**
 * Tracks the overruns of first bytes in one region by the priority of the requests.
 *
 * Backend servers admit urgent requests first, so that the others wait while the urgent ones do not.
 */
public class FirstByteOverruns {
    private val byPriority = ConcurrentHashMap<Int, FirstByteOverrun>()

    /** Returns the overrun of requests of [priority] at [nowMs], in milliseconds. */
    public fun at(priority: Int, nowMs: Long): Double = byPriority[priority]?.at(nowMs) ?: 0.0

    /** Records that a first byte of a request of [priority] arrived [overrunMs] later than predicted. */
    public fun record(priority: Int, overrunMs: Double, nowMs: Long): Unit =
        byPriority.computeIfAbsent(priority) { FirstByteOverrun() }.record(overrunMs, nowMs)
}
