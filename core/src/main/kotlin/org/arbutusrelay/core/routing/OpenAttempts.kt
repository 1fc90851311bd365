package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Holds the attempts that occupy a slot, so that each slot is freed exactly once. */
internal class OpenAttempts {
    private val open = ConcurrentHashMap<Long, OpenAttempt>()
    private val numbers = AtomicLong()

    fun nextNumber(): Long = numbers.incrementAndGet()

    fun add(number: Long, attempt: OpenAttempt) {
        open[number] = attempt
    }

    fun find(number: Long): OpenAttempt? = open[number]

    /** Takes the attempt out; null when it was ended before. */
    fun take(number: Long): OpenAttempt? = open.remove(number)

    fun size(): Int = open.size
}

/** What the scheduler notes about an attempt. Either [slots] or [region] is set. */
internal class OpenAttempt(
    val slots: BackendSlots?,
    val region: RegionSlots?,
    val times: ServiceTimes,
    val uncachedTokens: Int,
    /** Load that the attempt met on the backend server, itself included. */
    val load: Int,
    /** Predicted time without the backend server's slowdown, in milliseconds. */
    val predictedMs: Double,
    /** Prompt tokens that were to be read before this attempt's own, and the predicted time to its first byte. */
    val aheadTokens: Double = 0.0,
    val predictedFirstMs: Double = 0.0,
) {
    @Volatile
    var firstByteMs: Long = NONE

    /** Returns the time from [placedAtMs] to the first byte, in milliseconds; null before it came. */
    fun firstByteAfterMs(
        placedAtMs: Long,
    ): Double? = firstByteMs.takeIf { it != NONE }?.let { (it - placedAtMs).toDouble() }

    private val isPending = AtomicBoolean(true)

    /** Takes the attempt's tokens off those that wait on its backend server, once. */
    fun endPending() {
        if (isPending.compareAndSet(true, false)) slots?.removePending(uncachedTokens)
    }

    /** True once a hedge was placed; an attempt has at most one. */
    val hedged = AtomicBoolean()

    companion object {
        const val NONE = -1L
    }
}
