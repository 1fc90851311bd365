package org.arbutusrelay.relay.ingress

/** Tells which requests a host still accepts while it stops; safe for use by several threads. */
internal class StopState {
    /** True from the beginning of a stop; connections are then closed after their current response. */
    @Volatile
    var isStopping: Boolean = false
        private set

    @Volatile
    private var endMs = Long.MAX_VALUE

    /** Begins a stop; requests are still accepted, because callers may have only this host on their lists. */
    fun begin() {
        isStopping = true
    }

    /** Accepts only requests whose wait ends by [endMs], on the monotonic clock, when the process ends. */
    fun restrict(endMs: Long) {
        this.endMs = endMs
    }

    /** Returns true if a request with a wait until [deadlineMs], on the monotonic clock, may be accepted. */
    fun mayAccept(deadlineMs: Long): Boolean = deadlineMs <= endMs
}
