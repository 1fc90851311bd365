package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicLong

/**
 * Token bucket that limits an action, such as a retry or a hedge, to a share of the recent requests.
 *
 * Each request adds its share of a token and each action removes one token. The bucket contains at most [maxActions]
 * tokens, which bounds the burst after a quiet period; it starts with [initialActions].
 */
public class ShareBudget(@Volatile private var maxActions: Long = 20, initialActions: Long = 2) {
    private val balanceMilli = AtomicLong(initialActions * MILLI)

    /** Changes the capacity of the bucket; tokens above it are removed with the next request. */
    public fun resize(maxActions: Long) {
        this.maxActions = maxActions
    }

    /** Adds the tokens of one request, [sharePermille] thousandths of an action. */
    public fun recordRequest(sharePermille: Long) {
        val currentMilli = balanceMilli.get()
        val nextMilli = minOf(maxActions * MILLI, currentMilli + sharePermille)
        // A failed update loses the tokens of one request, which only makes the limit stricter.
        if (nextMilli != currentMilli) balanceMilli.compareAndSet(currentMilli, nextMilli)
    }

    /** Returns true if a token is available. */
    public fun canSpend(): Boolean = balanceMilli.get() >= MILLI

    /** Removes a token for one action; returns false if none is available. */
    public fun trySpend(): Boolean {
        while (true) {
            val currentMilli = balanceMilli.get()
            if (currentMilli < MILLI) return false
            if (balanceMilli.compareAndSet(currentMilli, currentMilli - MILLI)) return true
        }
    }

    private companion object {
        private const val MILLI = 1_000L
    }
}
