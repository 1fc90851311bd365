package org.arbutusrelay.relay.node

/** The event loop of an entry host. */
internal interface HostLoop {
    /** Runs [action] on the event loop; may be called on any thread. */
    fun execute(action: () -> Unit)

    /** Runs [action] on the event loop after [delayMs]. */
    fun schedule(delayMs: Long, action: () -> Unit)
}
