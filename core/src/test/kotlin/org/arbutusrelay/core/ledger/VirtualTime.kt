package org.arbutusrelay.core.ledger

import java.util.PriorityQueue
import kotlin.random.Random

/** Runs actions in virtual time; records a trace and counts what happened. */
internal class VirtualTime(seed: Int) {
    val random = Random(seed)
    val counts = sortedMapOf<String, Int>()
    var nowMs = 0L
        private set
    private var sequence = 0L
    private val queue = PriorityQueue(compareBy<Timed> { it.atMs }.thenBy { it.sequence })
    private val lines = ArrayDeque<String>()

    val trace: String get() = lines.joinToString("\n")

    fun after(delayMs: Long, action: () -> Unit) {
        queue.add(Timed(nowMs + delayMs, sequence++, action))
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

    fun happens(percent: Int): Boolean = random.nextInt(100) < percent

    /** Delivers a message once, late, twice or never. */
    fun deliver(action: () -> Unit) {
        if (happens(5)) return count("message lost")
        if (happens(5)) {
            count("message duplicated")
            after(random.nextLong(1, 6_000), action)
        }
        val isLate = happens(4)
        if (isLate) count("message late")
        after(if (isLate) random.nextLong(500, 8_000) else random.nextLong(1, 30), action)
    }

    private class Timed(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        private const val TRACE_LINES = 600
    }
}
