package org.arbutusrelay.standin.announce

/** Load of a backend server as it reports it. */
public data class ServerLoad(
    /** Requests running. */
    val running: Int,
    /** Requests queued. */
    val queued: Int,
    /** Models, adapters and versions that were loaded by orders. */
    val loaded: List<String> = emptyList(),
)
