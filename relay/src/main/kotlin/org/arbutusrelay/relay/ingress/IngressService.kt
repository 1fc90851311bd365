package org.arbutusrelay.relay.ingress

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpHeaders

/** Processes the requests that an [IngressServer] reads; called on the event loop. */
internal interface IngressService {
    /** True while this host shuts down; connections are then closed after their current response. */
    val isShuttingDown: Boolean

    /** Creates the exchange for a request; the caller of this method starts it. */
    fun createExchange(request: IngressRequest, writer: ResponseWriter): IngressExchange

    /** A connection was opened. */
    fun onConnectionOpened(handler: IngressHandler, channel: Channel)

    /** A connection was closed. */
    fun onConnectionClosed(handler: IngressHandler)
}

/** Processing of one request. */
internal interface IngressExchange {
    /** True while the request may run on a backend server. */
    val isSent: Boolean

    fun start()

    /** The caller closed its connection. */
    fun onCallerDisconnected()

    /** The host stops and no longer accepts requests that may not end before the process does. */
    fun onAdmissionRestricted()

    /** The process is about to end; the request must get its response now. */
    fun onProcessEnding()
}

/**
 * Clock and limits for reading requests; the body limit may change with the operator's document.
 *
 * [lagMs] returns how long input may have waited because the event loop was late, in milliseconds. A body waits for
 * memory in [bodies] for at most [bodyWaitMs], which depends on the headers of its request; [onBodyRefused] is called
 * for each request that is refused after that.
 */
internal class IngressOptions(
    val nowMs: () -> Long,
    val lagMs: () -> Long = { 0 },
    val bodies: BodyAdmission = BodyAdmission(),
    val bodyWaitMs: (HttpHeaders) -> Long = { MAX_BODY_WAIT_MS },
    val onBodyRefused: () -> Unit = {},
    val maxBodyBytes: () -> Int,
) {
    companion object {
        /** Shorter than the second after which callers give up a host that has not read their request. */
        const val MAX_BODY_WAIT_MS: Long = 800
    }
}
