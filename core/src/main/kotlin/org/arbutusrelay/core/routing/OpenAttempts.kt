package org.arbutusrelay.core.routing

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Tracks the attempts that hold a slot, so that each slot is released exactly once. */
internal class OpenAttempts {
    private val open = ConcurrentHashMap<Long, OpenAttempt>()
    private val numbers = AtomicLong()

    fun nextNumber(): Long = numbers.incrementAndGet()

    fun add(number: Long, attempt: OpenAttempt) {
        open[number] = attempt
    }

    fun find(number: Long): OpenAttempt? = open[number]

    /** Removes and returns the attempt; null when it has already ended. */
    fun remove(number: Long): OpenAttempt? = open.remove(number)

    fun size(): Int = open.size
}

/** Scheduler state of an attempt. Either [slots] or [region] is set. */
internal class OpenAttempt(
    val slots: BackendSlots?,
    val region: RegionSlots?,
    val times: ServiceTimeModel,
    val uncachedTokens: Int,
    /** Load of the backend server at placement, including this attempt. */
    val load: Int,
    /** Predicted time in milliseconds, without the backend server's slowdown. */
    val predictedMs: Double,
    /** Prompt tokens to prefill before those of this attempt. */
    val aheadTokens: Double = 0.0,
    /** Predicted time to first byte, in milliseconds. */
    val predictedFirstByteMs: Double = 0.0,
    /** Tokens reserved in the memory of the backend server. */
    val reservedTokens: Long = 0,
    /** Current speed factor of the backend server at placement. */
    val placementSpeed: Double = CurrentSpeed.USUAL,
) {
    @Volatile
    var firstByteMs: Long = NO_FIRST_BYTE

    /** Returns the time from [placedAtMs] to the first byte in milliseconds, or null before the first byte. */
    fun firstByteAfterMs(
        placedAtMs: Long,
    ): Double? = firstByteMs.takeIf { it != NO_FIRST_BYTE }?.let { (it - placedAtMs).toDouble() }

    /** Current speed factor of the backend server at the first byte. */
    @Volatile
    var firstByteSpeed: Double = CurrentSpeed.USUAL

    /** Returns the current speed factor of the backend server; 1 if another region runs the attempt. */
    fun speedAt(nowMs: Long): Double = slots?.currentSpeed?.factor(nowMs) ?: CurrentSpeed.USUAL

    /** Events of the stream that have arrived. */
    @Volatile
    var events: Int = 0

    @Volatile
    var lastEventMs: Long = NO_FIRST_BYTE

    /** Records [count] more events of the stream; calls for one attempt come from one thread at a time. */
    fun recordEvents(count: Int, nowMs: Long) {
        events += count
        lastEventMs = nowMs
    }

    private val isPending = AtomicBoolean(true)

    /** Removes the attempt's tokens from the pending prefill of its backend server; has an effect only once. */
    fun endPending() {
        if (isPending.compareAndSet(true, false)) slots?.removePendingPrefill(uncachedTokens)
    }

    /** True once a hedge has been placed; an attempt has at most one. */
    val isHedged = AtomicBoolean()

    companion object {
        const val NO_FIRST_BYTE = -1L
    }
}
