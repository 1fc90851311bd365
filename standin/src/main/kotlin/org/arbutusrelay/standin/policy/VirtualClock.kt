package org.arbutusrelay.standin.policy

import java.util.PriorityQueue

/** Runs events ordered by virtual time; events of equal time run in the order in which they were scheduled. */
internal class VirtualClock {
    var nowMs: Double = 0.0
        private set
    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.sequence }))
    private var nextSequence = 0L

    fun schedule(atMs: Double, action: () -> Unit) {
        events += Event(maxOf(atMs, nowMs), nextSequence++, action)
    }

    fun schedulePeriodically(periodMs: Double, untilMs: Double, action: () -> Unit) {
        if (nowMs + periodMs > untilMs) return
        schedule(nowMs + periodMs) {
            action()
            schedulePeriodically(periodMs, untilMs, action)
        }
    }

    fun run() {
        while (true) {
            val event = events.poll() ?: return
            nowMs = event.atMs
            event.action()
        }
    }

    private class Event(val atMs: Double, val sequence: Long, val action: () -> Unit)
}
