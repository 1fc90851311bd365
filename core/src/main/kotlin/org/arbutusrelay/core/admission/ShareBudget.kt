package org.arbutusrelay.core.admission

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits an action, such as a retry or a hedge, to a share of recent requests.
 *
 * Each request adds its share to the budget and each action takes 1 from it. The budget holds at most [maxActions],
 * which bounds the burst after a quiet time; it starts with [initialActions].
 */
public class ShareBudget(@Volatile private var maxActions: Long = 20, initialActions: Long = 2) {
    private val balanceMilli = AtomicLong(initialActions * MILLI)

    /** Changes how many actions the budget holds at most; what it holds beyond is lost with the next request. */
    public fun resize(maxActions: Long) {
        this.maxActions = maxActions
    }

    /** Adds one request that allows [sharePermille] thousandths of an action. */
    public fun recordRequest(sharePermille: Long) {
        val balance = balanceMilli.get()
        val next = minOf(maxActions * MILLI, balance + sharePermille)
        // A lost race drops one request's share, which only makes the budget stricter.
        if (next != balance) balanceMilli.compareAndSet(balance, next)
    }

    /** Returns true when an action can be paid for. */
    public fun canSpend(): Boolean = balanceMilli.get() >= MILLI

    /** Pays for one action; returns false when the budget is used up. */
    public fun trySpend(): Boolean {
        while (true) {
            val balance = balanceMilli.get()
            if (balance < MILLI) return false
            if (balanceMilli.compareAndSet(balance, balance - MILLI)) return true
        }
    }

    private companion object {
        private const val MILLI = 1_000L
    }
}
