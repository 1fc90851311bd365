package org.arbutusrelay.relay.ingress

import io.netty.channel.Channel

/** Answers the requests that an [IngressServer] reads; called on the event loop. */
internal interface IngressService {
    /** True once this host stops; connections are closed after their response. */
    val isLeaving: Boolean

    /** Makes the exchange of a request; it must be started. */
    fun open(request: IngressRequest, writer: ResponseWriter): IngressExchange

    /** A connection was opened. */
    fun onOpen(handler: IngressHandler, channel: Channel)

    /** A connection has ended. */
    fun onClose(handler: IngressHandler)
}

/** A request that is being answered. */
internal interface IngressExchange {
    /** Begins to work on the request. */
    fun start()

    /** The caller has closed its connection. */
    fun onCallerLeft()
}

/** Bounds of what is read; limits may change with the operator's document. */
internal class IngressOptions(val nowMs: () -> Long, val maxBodyBytes: () -> Int)
