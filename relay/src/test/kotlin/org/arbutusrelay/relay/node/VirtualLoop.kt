package org.arbutusrelay.relay.node

import java.util.PriorityQueue

/** An event loop in virtual time: actions run at once, and timers as [passMs] advances the time. */
internal class VirtualLoop : HostLoop {
    private val timers = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })

    /** Time in milliseconds; a test may advance it without running timers, as when the loop stalls. */
    var nowMs = 0L

    override fun execute(action: () -> Unit) = action()

    override fun schedule(delayMs: Long, action: () -> Unit) {
        timers += (nowMs + delayMs) to action
    }

    fun passMs(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (timers.isNotEmpty() && timers.peek().first <= endMs) {
            val (atMs, action) = timers.remove()
            nowMs = atMs
            action()
        }
        nowMs = endMs
    }
}
