package org.arbutusrelay.relay.ingress

import io.netty.channel.Channel

/** The connections of callers and of other hosts; confined to the event loop. */
internal class OpenConnections {
    private val channels = HashMap<IngressHandler, Channel>()

    fun add(handler: IngressHandler, channel: Channel) {
        channels[handler] = channel
    }

    fun remove(handler: IngressHandler) {
        channels.remove(handler)
    }

    /** Returns true when a part of a response has not been written to the socket of its caller. */
    fun hasUnsentBytes(): Boolean = channels.keys.any { it.hasUnsentBytes }

    /** Returns true when a request is being read or processed on any connection, or its response written. */
    fun hasRequests(): Boolean = channels.keys.any { !it.isIdle() }

    /** Closes the connections on which no request has been read or processed for at least [quietMs]. */
    fun closeQuiet(quietMs: Long) {
        channels.filterKeys { it.isQuietFor(quietMs) }.values.forEach { it.close() }
    }

    /** Refuses the requests that were not sent to a backend server and may not end before the process does. */
    fun refuseUnsent() {
        channels.keys.toList().forEach { it.refuseUnsent() }
    }

    /**
     * Responds with an error to each request that is being read or processed, because the process is about to end.
     *
     * Requests that were not sent to a backend server come first: the end of another one would give them its slot.
     */
    fun failRequests() {
        channels.keys.sortedBy { it.isRequestSent }.forEach { it.failRequest() }
    }

    fun isEmpty(): Boolean = channels.isEmpty()

    /** Closes the connections on which nothing has begun or ended for more than [idleMs]. */
    fun closeIdleLongerThan(idleMs: Long) {
        channels.filterKeys { it.isIdleLongerThan(idleMs) }.values.forEach { it.close() }
    }
}
