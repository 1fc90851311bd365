package org.arbutusrelay.core.admission

/**
 * Assigns refused requests the time at which they are to return.
 *
 * Answers bursts of 1.5 to 2.5 times the usual load: callers that are all given the same Retry-After return together.
 * Each refusal is promised the room after those refused before it, and the outstanding promises count as load to come.
 * Not tied to a clock; safe to call from several threads.
 */
public class RetryAfterPlan {
    private val promises = ArrayDeque<Long>()

    /**
     * Returns the time in milliseconds after which a request refused at [nowMs] is to return.
     *
     * [roomMs] is the time until room is expected for it, [intervalMs] the time in which this host gets room for one
     * request, [remainingMs] the time that its caller has left, and [spread], from 0 to 1, is drawn for the request.
     */
    @Synchronized
    public fun promise(roomMs: Double, intervalMs: Double, remainingMs: Long, spread: Double, nowMs: Long): Long {
        val ahead = outstanding(nowMs)
        val expectedMs = maxOf(roomMs, MIN_MS.toDouble()) + ahead * intervalMs
        val spreadMs = maxOf(intervalMs, MIN_SPREAD_MS) * spread
        val usefulMs = maxOf(MIN_MS, remainingMs / USEFUL_DIVISOR)
        val afterMs = expectedMs + spreadMs
        // Callers that can't wait that long are spread over the last part of the time that they can.
        val boundedMs = if (afterMs > usefulMs) usefulMs * (1 - SPREAD_SHARE * spread) else afterMs
        val resultMs = boundedMs.toLong().coerceIn(MIN_MS, usefulMs)
        if (promises.size < MAX_PROMISES) promises.addLast(nowMs + resultMs)
        return resultMs
    }

    /** Returns the number of refused requests that were promised room and have yet to return. */
    @Synchronized
    public fun outstanding(nowMs: Long): Int {
        promises.removeAll { it <= nowMs }
        return promises.size
    }

    private companion object {
        const val MIN_MS = 100L

        /** Hosts that refuse at the same moment promise the same times; about two polls of their queues. */
        const val MIN_SPREAD_MS = 50.0

        /** Part of the useful time over which callers are spread that cannot wait for their turn. */
        const val SPREAD_SHARE = 0.25

        /** Callers honour a Retry-After of up to a third of the time they have left. */
        const val USEFUL_DIVISOR = 3

        /** Above the requests that a host refuses in the longest Retry-After, a third of 15 s. */
        const val MAX_PROMISES = 1_024
    }
}
