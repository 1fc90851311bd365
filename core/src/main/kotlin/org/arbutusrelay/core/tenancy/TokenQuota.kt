package org.arbutusrelay.core.tenancy

/**
 * Limits how much a tenant may use of all hosts together: a rate, and a burst beyond it.
 *
 * Both are in tokens if [countsTokens], otherwise in requests.
 */
public data class TokenQuota(
    val ratePerSecond: Double,
    val burst: Double,
    val countsTokens: Boolean,
    /** Cost of a request that states no tokens. */
    val plainTokens: Long,
) {
    /** Returns what a request with [statedTokens] costs; null stands for a request that states none. */
    public fun costOf(statedTokens: Long?): Long = when {
        !countsTokens -> 1
        else -> statedTokens ?: plainTokens
    }
}
