package org.arbutusrelay.core.admission

import java.util.TreeMap
import java.util.TreeSet

/**
 * Orders waiting requests: the most urgent priority first, the earliest deadline first within it, fair between callers.
 *
 * An entry that was postponed comes after all others of its priority: when more arrives than can be served, requests
 * that can still be in time must not wait behind those that are late whatever happens.
 *
 * A caller that was served more than [fairnessLag] requests ahead of the least served waiting caller of the same
 * priority waits until the others have caught up. The queue holds at most [maxSize] entries. It is not thread-safe.
 */
public class DeadlineQueue<T : Any>(private val maxSize: Int, private val fairnessLag: Long = 8) {
    private val lanes = TreeMap<Int, Lane<T>>()
    private var sequence = 0L

    /** Number of waiting entries. */
    public var size: Int = 0
        private set

    /** Adds an entry; returns null when the queue is full. */
    public fun offer(value: T, priority: Int, caller: String, deadlineMs: Long): Entry<T>? {
        if (size >= maxSize) return null
        val entry = Entry(value, priority, caller, deadlineMs, sequence++)
        laneOf(entry).add(entry)
        size++
        return entry
    }

    /** Puts [entry] behind all entries of its priority that were not postponed. */
    public fun postpone(entry: Entry<T>) {
        if (entry.isPostponed || !remove(entry, isServed = false)) return
        entry.isPostponed = true
        laneOf(entry).add(entry)
        size++
    }

    /** Returns the entry that is served next, or null when the queue is empty. */
    public fun peek(): Entry<T>? = head(1).firstOrNull()

    /** Returns up to [count] entries of the most urgent priority in the order in which they are served. */
    public fun head(count: Int): List<Entry<T>> = lanes.firstEntry()?.value?.head(fairnessLag, count).orEmpty()

    /** Removes an entry; [isServed] counts it towards its caller's share. Returns false when it is not in the queue. */
    public fun remove(entry: Entry<T>, isServed: Boolean): Boolean {
        val lane = lanes[entry.laneNumber] ?: return false
        if (!lane.remove(entry, isServed)) return false
        size--
        if (lane.isEmpty()) lanes.remove(entry.laneNumber)
        return true
    }

    private fun laneOf(entry: Entry<T>): Lane<T> = lanes.getOrPut(entry.laneNumber) { Lane() }

    /** Counts the entries that are served before a new one with this priority and deadline. */
    public fun countAhead(priority: Int, deadlineMs: Long): Int {
        var count = 0
        val own = priority * LANES
        for ((number, lane) in lanes) {
            if (number > own) break
            count += if (number < own) lane.size else lane.countBefore(deadlineMs)
        }
        return count
    }

    /** Returns the entries in any order. */
    public fun entries(): Sequence<Entry<T>> = lanes.values.asSequence().flatMap { it.entries() }

    /** A waiting request. */
    public class Entry<T : Any> internal constructor(
        public val value: T,
        internal val priority: Int,
        internal val caller: String,
        /** When the response must be complete, on the monotonic clock, in milliseconds. */
        public val deadlineMs: Long,
        internal val sequence: Long,
    ) {
        /** True once it was put behind the others of its priority. */
        public var isPostponed: Boolean = false
            internal set

        internal val laneNumber: Int get() = priority * LANES + (if (isPostponed) 1 else 0)
    }

    private class Waiting<T : Any>(var served: Long) {
        val entries = TreeSet<Entry<T>>(ORDER)
    }

    private class Lane<T : Any> {
        private val callers = LinkedHashMap<String, Waiting<T>>()
        var size = 0

        fun add(entry: Entry<T>) {
            // A caller that joins starts level with the least served one, so idle time earns no advantage.
            callers.getOrPut(entry.caller) { Waiting(leastServed()) }.entries.add(entry)
            size++
        }

        fun remove(entry: Entry<T>, isServed: Boolean): Boolean {
            val waiting = callers[entry.caller] ?: return false
            if (!waiting.entries.remove(entry)) return false
            size--
            if (isServed) waiting.served++
            if (waiting.entries.isEmpty()) callers.remove(entry.caller)
            return true
        }

        fun head(fairnessLag: Long, count: Int): List<Entry<T>> {
            val bound = leastServed() + fairnessLag
            return callers.values.asSequence().filter { it.served <= bound }.flatMap { it.entries.take(count) }
                .sortedWith(ORDER).take(count).toList()
        }

        fun countBefore(deadlineMs: Long): Int = callers.values.sumOf { waiting ->
            waiting.entries.count { it.deadlineMs <= deadlineMs }
        }

        fun entries(): Sequence<Entry<T>> = callers.values.asSequence().flatMap { it.entries.asSequence() }

        fun isEmpty(): Boolean = callers.isEmpty()

        private fun leastServed(): Long = callers.values.minOfOrNull { it.served } ?: 0
    }

    private companion object {
        /** Lanes of one priority: those in time, and those that were postponed. */
        private const val LANES = 2
        private val ORDER = compareBy<Entry<*>>({ it.deadlineMs }, { it.sequence })
    }
}
