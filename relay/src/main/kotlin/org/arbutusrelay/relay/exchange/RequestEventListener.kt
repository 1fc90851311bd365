package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.PlacedAttempt

/** Listener for events in the processing of requests; implementations must not block. */
internal interface RequestEventListener {
    /** The request was queued; [waiting] requests are queued on this host, this one included. */
    fun queued(exchange: Exchange, waiting: Int)

    /** The request is sent to [address]; a resumed stream continues after the event [lastEventId]. */
    fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?)

    /** The request was rejected, or failed with an error of the relay. */
    fun failed(exchange: Exchange, error: RelayError)

    /** An attempt ended without a usable response. */
    fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    )

    /** The response of a backend server was sent to the caller in full. */
    fun completed(exchange: Exchange, statusCode: Int)

    /** The caller disconnected before its response was complete. */
    fun callerDisconnected(exchange: Exchange)
}
