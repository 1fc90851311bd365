package org.arbutusrelay.core.routing

/** Shows operators what a scheduler knows of backend servers beyond their own reports. */
public fun interface SchedulerView {
    /** Returns what is known of the backend server [name] at [nowMs], or null when the scheduler does not use it. */
    public fun viewOf(name: String, nowMs: Long): ScheduledServer?
}

/** A backend server as the scheduler of one host sees it. */
public data class ScheduledServer(
    /** Requests that this host placed there since the last report. */
    val sentSinceReport: Long,
    /** True while the circuit breaker is open. */
    val isOpen: Boolean,
    /** True while the server gets less than its full share, because it is new or has returned. */
    val isRamping: Boolean,
)
