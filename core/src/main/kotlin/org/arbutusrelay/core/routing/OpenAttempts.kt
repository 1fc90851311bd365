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
) {
    @Volatile
    var firstByteMs: Long = NONE

    /** True once a hedge was placed; an attempt has at most one. */
    val hedged = AtomicBoolean()

    companion object {
        const val NONE = -1L
    }
}
