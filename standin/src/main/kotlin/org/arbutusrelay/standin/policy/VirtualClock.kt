package org.arbutusrelay.standin.policy

import java.util.PriorityQueue

/** Runs events in the order of their virtual time; equal times run in the order they were added. */
internal class VirtualClock {
    var nowMs: Double = 0.0
        private set
    private val events = PriorityQueue(compareBy<Event>({ it.atMs }, { it.number }))
    private var number = 0L

    fun at(atMs: Double, action: () -> Unit) {
        events += Event(maxOf(atMs, nowMs), number++, action)
    }

    fun every(periodMs: Double, untilMs: Double, action: () -> Unit) {
        if (nowMs + periodMs > untilMs) return
        at(nowMs + periodMs) {
            action()
            every(periodMs, untilMs, action)
        }
    }

    fun run() {
        while (true) {
            val event = events.poll() ?: return
            nowMs = event.atMs
            event.action()
        }
    }

    private class Event(val atMs: Double, val number: Long, val action: () -> Unit)
}
