package org.arbutusrelay.relay.ingress

/**
 * Tells which requests a host still accepts while it stops; safe for use by several threads.
 *
 * Times are monotonic, in milliseconds. They decide by themselves: a starved host may run the steps of a stop late.
 */
internal class StopState(private val nowMs: () -> Long) {
    @Volatile
    private var schedule: Schedule? = null

    /** True from the beginning of a stop; connections are then closed after their current response. */
    val isStopping: Boolean get() = schedule != null

    /**
     * Begins a stop; requests are still accepted until [restrictAtMs], because callers may have only this host on their
     * lists. After that, only those are accepted whose wait ends by [endMs].
     */
    fun begin(restrictAtMs: Long, endMs: Long) {
        schedule = Schedule(restrictAtMs, endMs)
    }

    /** Refuses all requests from now on, because nothing may start any more. */
    fun refuseAll() {
        schedule = Schedule(Long.MIN_VALUE, Long.MIN_VALUE)
    }

    /** Returns true if a request that may last until [deadlineMs] may be accepted now. */
    fun mayAccept(deadlineMs: Long): Boolean {
        val current = schedule ?: return true
        return nowMs() < current.restrictAtMs || deadlineMs <= current.endMs
    }

    companion object {
        /** A response may arrive this long after the deadline of its request, which the backend server enforces. */
        const val RESPONSE_GRACE_MS: Long = 150
    }

    private class Schedule(val restrictAtMs: Long, val endMs: Long)
}
