package org.arbutusrelay.core.routing

import java.util.concurrent.atomic.AtomicLong

/**
 * Accounts for the memory of one backend server, in tokens.
 *
 * Answers preemption: when the tokens of the running requests no longer fit, a server preempts a request and prefills
 * it again, which costs its caller more than half a second of waiting. This host knows its own requests; those of other
 * hosts are estimated at the mean size. A capacity of 0 means that the memory is not known and does not count.
 */
public class ServerMemory {
    /** Tokens that the requests of all hosts may hold; 0 if it is not known. */
    @Volatile
    public var capacityTokens: Long = 0
        internal set

    private val reserved = AtomicLong()

    /** Tokens that the requests of this host hold or are expected to hold. */
    public val reservedTokens: Long get() = reserved.get()

    /** Returns true if a request of [tokens] fits beside those of this host and [otherTokens] of other hosts. */
    public fun hasRoom(tokens: Long, otherTokens: Double): Boolean =
        capacityTokens == 0L || reserved.get() + tokens + otherTokens <= usableTokens(tokens)

    /** Reserves [tokens] if there is room as in [hasRoom]; [release] must follow. */
    public fun tryReserve(tokens: Long, otherTokens: Double): Boolean {
        while (true) {
            val held = reserved.get()
            if (capacityTokens > 0 && held + tokens + otherTokens > usableTokens(tokens)) return false
            if (reserved.compareAndSet(held, held + tokens)) return true
        }
    }

    /** Releases [tokens] that were reserved. */
    public fun release(tokens: Long) {
        reserved.addAndGet(-tokens)
    }

    /** A request that fits only into the whole memory may use all of it. */
    private fun usableTokens(tokens: Long): Long = maxOf(tokens, capacityTokens * USABLE_PERCENT / PERCENT)

    private companion object {
        /** Lengths of responses and the sizes of other hosts' requests are estimates. */
        const val USABLE_PERCENT = 95
        const val PERCENT = 100
    }
}
