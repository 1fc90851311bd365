package org.arbutusrelay.core.relay

/**
 * Requests that were sent to each address and whose callers may still wait.
 *
 * The identifier of a response names its request, but not to which of its sends it belongs. A second copy of a response
 * may arrive late on its connection, so a request that is sent to an address again needs another connection. Times are
 * on the monotonic clock, in milliseconds. Not thread-safe.
 */
public class RecentSends {
    private val expiryMs = HashMap<Send, Long>()
    private var sweepSize = MIN_SWEEP_SIZE

    /** Number of sends that are remembered. */
    public val size: Int get() = expiryMs.size

    /**
     * Records that the request [requestId], whose caller waits until [deadlineMs], is sent to [address].
     *
     * Returns true if it was sent there before, by whatever attempt, exchange or host it came.
     */
    public fun record(requestId: String, address: String, deadlineMs: Long, nowMs: Long): Boolean {
        if (expiryMs.size >= sweepSize) sweep(nowMs)
        val previousMs = expiryMs.put(Send(requestId, address), deadlineMs + EXPIRY_MARGIN_MS)
        return previousMs != null && previousMs > nowMs
    }

    /** Removes what has expired; constant work for each record, as the size must double before the next sweep. */
    private fun sweep(nowMs: Long) {
        expiryMs.values.removeIf { it <= nowMs }
        sweepSize = maxOf(MIN_SWEEP_SIZE, 2 * expiryMs.size)
    }

    private data class Send(val requestId: String, val address: String)

    private companion object {
        const val MIN_SWEEP_SIZE = 1_024

        /** A request that another host sends again just before its deadline arrives here after the deadline. */
        const val EXPIRY_MARGIN_MS = 1_000L
    }
}
