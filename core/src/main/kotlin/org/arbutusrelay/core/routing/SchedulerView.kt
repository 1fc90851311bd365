package org.arbutusrelay.core.routing

/** Provides operators with the scheduler state of backend servers, in addition to their own reports. */
public fun interface SchedulerView {
    /** Returns the state of the backend server [name] at [nowMs], or null when the scheduler does not use it. */
    public fun viewOf(name: String, nowMs: Long): ScheduledServer?
}

/** State of a backend server in the scheduler of one host. */
public data class ScheduledServer(
    /** Requests that this host placed there since the last report. */
    val sentSinceReport: Long,
    /** True while the circuit breaker is open. */
    val isOpen: Boolean,
    /** True while the server is in slow start, because it is new or has returned. */
    val isRamping: Boolean,
)
