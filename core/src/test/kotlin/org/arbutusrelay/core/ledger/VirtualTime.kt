package org.arbutusrelay.core.ledger

import java.util.PriorityQueue
import kotlin.random.Random

/** Event queue in virtual time that records a trace and counts events by kind. */
internal class VirtualTime(seed: Int) {
    val random = Random(seed)
    val counts = sortedMapOf<String, Int>()
    var nowMs = 0L
        private set
    private var sequence = 0L
    private val queue = PriorityQueue(compareBy<ScheduledAction> { it.atMs }.thenBy { it.sequence })
    private val lines = ArrayDeque<String>()

    val trace: String get() = lines.joinToString("\n")

    fun after(delayMs: Long, action: () -> Unit) {
        queue.add(ScheduledAction(nowMs + delayMs, sequence++, action))
    }

    fun runUntil(endMs: Long) {
        while (queue.peek()?.let { it.atMs <= endMs } == true) {
            val next = queue.remove()
            nowMs = next.atMs
            next.action()
        }
        nowMs = endMs
    }

    fun count(kind: String) {
        counts.merge(kind, 1, Int::plus)
    }

    fun log(line: String) {
        lines.addLast("$nowMs $line")
        if (lines.size > TRACE_LINES) lines.removeFirst()
    }

    fun chance(percent: Int): Boolean = random.nextInt(100) < percent

    /** Runs [action] as the delivery of a message, with random loss, duplication and delay. */
    fun deliver(action: () -> Unit) {
        if (chance(5)) return count("message lost")
        if (chance(5)) {
            count("message duplicated")
            after(random.nextLong(1, 6_000), action)
        }
        val isLate = chance(4)
        if (isLate) count("message late")
        after(if (isLate) random.nextLong(500, 8_000) else random.nextLong(1, 30), action)
    }

    private class ScheduledAction(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        private const val TRACE_LINES = 600
    }
}
