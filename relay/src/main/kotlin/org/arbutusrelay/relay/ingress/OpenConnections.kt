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

    /** Returns true when a request is being read or processed on any connection. */
    fun hasRequests(): Boolean = channels.keys.any { !it.isIdle() }

    /** Closes the connections on which no request has been read or processed for at least [quietMs]. */
    fun closeQuiet(quietMs: Long) {
        channels.filterKeys { it.isQuietFor(quietMs) }.values.forEach { it.close() }
    }

    fun isEmpty(): Boolean = channels.isEmpty()

    /** Rejects the requests that are received too slowly; see [IngressHandler.rejectIfSlow]. */
    fun rejectSlow(headMs: Long, requestMs: Long) {
        channels.keys.toList().forEach { it.rejectIfSlow(headMs, requestMs) }
    }

    /** Closes the connections on which nothing has begun or ended for more than [idleMs]. */
    fun closeIdleLongerThan(idleMs: Long) {
        channels.filterKeys { it.isIdleLongerThan(idleMs) }.values.forEach { it.close() }
    }
}
