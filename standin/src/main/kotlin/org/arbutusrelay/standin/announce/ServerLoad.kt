package org.arbutusrelay.standin.announce

/** Load reported by a backend server. */
public data class ServerLoad(
    /** Number of running requests. */
    val running: Int,
    /** Number of queued requests. */
    val queued: Int,
    /** Models, adapters and versions loaded by engine orders. */
    val loaded: List<String> = emptyList(),
)
