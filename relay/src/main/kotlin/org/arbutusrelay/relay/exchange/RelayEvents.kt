package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.routing.PlacedAttempt

/** Learns what is decided on requests; must not block. */
internal interface RelayEvents {
    /** The request waits for a place behind or beside [waiting] requests of its service, itself included. */
    fun queued(exchange: Exchange, waiting: Int)

    /** The request is sent to [address]; [lastEventId] tells where a stream goes on. */
    fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?)

    /** The request was refused or failed with an error of this system. */
    fun failed(exchange: Exchange, error: RelayError)

    /** An attempt ended without a usable response. */
    fun attemptFailed(
        exchange: Exchange,
        attempt: PlacedAttempt,
        failure: AttemptFailure,
        detail: String,
        isRetried: Boolean,
    )

    /** The caller got a backend server's response, complete. */
    fun answered(exchange: Exchange, statusCode: Int)

    /** The caller left before its response was complete. */
    fun callerLeft(exchange: Exchange)
}
