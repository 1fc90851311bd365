package org.arbutusrelay.core.tenancy.quota

import org.arbutusrelay.core.tenancy.TokenQuota
import kotlin.math.ceil
import kotlin.math.floor

/**
 * Token bucket of one tenant at one state host, which owns [share] of the quota. Starts empty.
 *
 * A request larger than the capacity is admitted when the bucket is full, and the balance becomes negative.
 */
public class QuotaBucket(private var quota: TokenQuota, private var share: Double, private var refilledMs: Long) {
    /** Balance in tokens; negative after a request that was larger than the capacity. */
    public var level: Double = 0.0
        private set

    /** Most tokens that this bucket holds. */
    public val capacity: Double
        get() = if (share <= 0) 0.0 else maxOf(MIN_CAPACITY, (quota.burst + reserve) * share)

    private val reserve get() = quota.ratePerSecond * RESERVE_S + if (quota.countsTokens) RESERVE_TOKENS else 0.0

    private val refillPerMs get() = quota.ratePerSecond * share / MS_PER_SECOND

    /** Adds the tokens that are due at [nowMs]. */
    public fun refill(nowMs: Long) {
        val elapsedMs = nowMs - refilledMs
        if (elapsedMs <= 0) return
        refilledMs = nowMs
        if (level < capacity) level = minOf(capacity, level + elapsedMs * refillPerMs)
    }

    /** Changes the quota or the share; a balance above the new capacity is cut. */
    public fun change(newQuota: TokenQuota, newShare: Double, nowMs: Long) {
        refill(nowMs)
        quota = newQuota
        share = newShare
        level = minOf(level, capacity)
    }

    /** Takes [tokens] and returns true, or leaves the bucket unchanged. */
    public fun take(tokens: Long): Boolean {
        if (share <= 0 || level < minOf(tokens.toDouble(), capacity)) return false
        level -= tokens
        return true
    }

    /** Takes up to [tokens] whole tokens, but leaves at least [keep]. */
    public fun takeUpTo(tokens: Long, keep: Double): Long {
        val given = floor(level - keep).toLong().coerceIn(0, tokens)
        level -= given
        return given
    }

    /** Adds [tokens]; those beyond the capacity are lost. */
    public fun add(tokens: Long) {
        level = minOf(maxOf(level, capacity), level + tokens)
    }

    /** Drops the tokens that were not used; a negative balance stays. */
    public fun empty(nowMs: Long) {
        level = minOf(level, 0.0)
        refilledMs = nowMs
    }

    /** Returns the time until [tokens] could be taken if all of the tenant's rate were added here. */
    public fun waitMs(tokens: Long): Long {
        val missing = minOf(tokens.toDouble(), capacity) - level
        return ceil(missing.coerceAtLeast(0.0) * MS_PER_SECOND / quota.ratePerSecond).toLong()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** A quota of a few requests per second can otherwise not be moved between hosts in whole requests. */
        const val MIN_CAPACITY = 1.0

        /**
         * Rate beyond the burst that buckets hold, so that a tenant without a burst can use its whole rate at one host
         * 110 ms away from the others. Half of the allowed excess, which is 10 % of 8 s.
         */
        const val RESERVE_S = 0.4

        /**
         * Tokens beyond the burst that buckets hold, so that a fifth holds a usual request of 9,190 tokens. Without
         * them, tenants of 30,000 to 80,000 tokens/s lost up to 10 % of their quota. Less than half of the allowed
         * 110,000.
         */
        const val RESERVE_TOKENS = 50_000.0
    }
}
