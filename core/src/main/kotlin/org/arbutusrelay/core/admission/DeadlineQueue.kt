package org.arbutusrelay.core.admission

import java.util.TreeMap
import java.util.TreeSet

/**
 * Bounded queue of requests by priority, then by earliest deadline, with fairness between callers.
 *
 * A postponed entry is dequeued after all other entries of its priority: under overload, requests that can still meet
 * their deadline must not queue behind requests that will miss it in any case.
 *
 * Requests count by their cost, which is 1 by default. A caller whose served cost is more than [fairnessLag] ahead of
 * the least served waiting caller of its priority is skipped until the others have caught up. The queue contains at
 * most [maxSize] entries. Not thread-safe.
 */
public class DeadlineQueue<T : Any>(private val maxSize: Int, private val fairnessLag: Long = 8) {
    private val levels = TreeMap<Int, Level<T>>()
    private var sequenceNumber = 0L

    /** Number of queued entries. */
    public var size: Int = 0
        private set

    /** Adds an entry and returns it, or returns null if the queue is full. */
    public fun offer(value: T, priority: Int, caller: String, deadlineMs: Long, cost: Double = 1.0): Entry<T>? {
        if (size >= maxSize) return null
        val entry = Entry(value, priority, caller, deadlineMs, sequenceNumber++, cost)
        levelOf(entry).add(entry)
        size++
        return entry
    }

    /** Moves [entry] behind all entries of its priority that are not postponed. */
    public fun postpone(entry: Entry<T>) {
        if (entry.isPostponed || !remove(entry, isServed = false)) return
        entry.isPostponed = true
        levelOf(entry).add(entry)
        size++
    }

    /** Returns the next entry without removing it, or null if the queue is empty. */
    public fun peek(): Entry<T>? = head(1).firstOrNull()

    /** Returns up to [count] entries from the head of the most urgent level, in dequeue order. */
    public fun head(count: Int): List<Entry<T>> = levels.firstEntry()?.value?.head(fairnessLag, count).orEmpty()

    /** Removes an entry; returns false if it is not queued. [isServed] counts it for the fairness between callers. */
    public fun remove(entry: Entry<T>, isServed: Boolean): Boolean {
        val level = levels[entry.levelNumber] ?: return false
        if (!level.remove(entry, isServed)) return false
        size--
        if (level.isEmpty()) levels.remove(entry.levelNumber)
        return true
    }

    private fun levelOf(entry: Entry<T>): Level<T> = levels.getOrPut(entry.levelNumber) { Level() }

    /** Counts the entries ahead of a new entry with the given priority and deadline, regardless of fairness. */
    public fun countAhead(priority: Int, deadlineMs: Long): Int {
        var count = 0
        val regularLevelNumber = priority * LEVELS_PER_PRIORITY
        for ((number, level) in levels) {
            if (number > regularLevelNumber) break
            count += if (number < regularLevelNumber) level.size else level.countBefore(deadlineMs)
        }
        return count
    }

    /** Returns all entries, in no particular order. */
    public fun entries(): Sequence<Entry<T>> = levels.values.asSequence().flatMap { it.entries() }

    /** A queued request. */
    public class Entry<T : Any> internal constructor(
        public val value: T,
        internal val priority: Int,
        internal val caller: String,
        /** Time by which the response must be complete, in milliseconds of the monotonic clock. */
        public val deadlineMs: Long,
        internal val sequenceNumber: Long,
        internal val cost: Double,
    ) {
        /** True if the entry was moved behind the other entries of its priority. */
        public var isPostponed: Boolean = false
            internal set

        internal val levelNumber: Int get() = priority * LEVELS_PER_PRIORITY + (if (isPostponed) 1 else 0)
    }

    private class CallerQueue<T : Any>(var servedCost: Double) {
        val entries = TreeSet<Entry<T>>(ORDER)
    }

    private class Level<T : Any> {
        private val callers = LinkedHashMap<String, CallerQueue<T>>()
        var size = 0

        fun add(entry: Entry<T>) {
            // A new caller starts with the lowest cost of the level, so that idle time gives no advantage.
            callers.getOrPut(entry.caller) { CallerQueue(minServedCost()) }.entries.add(entry)
            size++
        }

        fun remove(entry: Entry<T>, isServed: Boolean): Boolean {
            val callerQueue = callers[entry.caller] ?: return false
            if (!callerQueue.entries.remove(entry)) return false
            size--
            if (isServed) callerQueue.servedCost += entry.cost
            if (callerQueue.entries.isEmpty()) callers.remove(entry.caller)
            return true
        }

        fun head(fairnessLag: Long, count: Int): List<Entry<T>> {
            val maxCost = minServedCost() + fairnessLag
            return callers.values.asSequence().filter { it.servedCost <= maxCost }.flatMap { it.entries.take(count) }
                .sortedWith(ORDER).take(count).toList()
        }

        fun countBefore(deadlineMs: Long): Int = callers.values.sumOf { callerQueue ->
            callerQueue.entries.count { it.deadlineMs <= deadlineMs }
        }

        fun entries(): Sequence<Entry<T>> = callers.values.asSequence().flatMap { it.entries.asSequence() }

        fun isEmpty(): Boolean = callers.isEmpty()

        private fun minServedCost(): Double = callers.values.minOfOrNull { it.servedCost } ?: 0.0
    }

    private companion object {
        /** Each priority has a level for regular and one for postponed entries. */
        private const val LEVELS_PER_PRIORITY = 2
        private val ORDER = compareBy<Entry<*>>({ it.deadlineMs }, { it.sequenceNumber })
    }
}
