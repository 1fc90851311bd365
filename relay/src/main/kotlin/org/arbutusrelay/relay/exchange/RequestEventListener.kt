package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.core.relay.ResponseDefect
import org.arbutusrelay.core.routing.PlacedAttempt

/** An attempt that ended without a usable response. */
internal class FailedAttempt(
    val placed: PlacedAttempt,
    val failure: AttemptFailure,
    val detail: String,
    val isRetried: Boolean,
    /** Length of the event that the server had begun and not completed, in bytes; null unless the route streams. */
    val incompleteEventBytes: Int?,
    /** Identifier of the last event that the caller has received, or null. */
    val lastEventId: Long?,
)

/** Listener for events in the processing of requests; implementations must not block. */
internal interface RequestEventListener {
    /** The request was queued; [waiting] requests are queued on this host, this one included. */
    fun queued(exchange: Exchange, waiting: Int)

    /** The request is sent to [address]; a resumed stream continues after the event [lastEventId]. */
    fun placed(exchange: Exchange, attempt: PlacedAttempt, address: String, lastEventId: Long?)

    /** The request was rejected, or failed with an error of the relay. */
    fun failed(exchange: Exchange, error: RelayError)

    /** An attempt ended without a usable response. */
    fun attemptFailed(exchange: Exchange, failed: FailedAttempt)

    /** A part of a response does not belong to the response. */
    fun responseDefect(exchange: Exchange, defect: ResponseDefect)

    /** The response of a backend server was sent to the caller in full. */
    fun completed(exchange: Exchange, statusCode: Int)

    /** The caller disconnected before its response was complete. */
    fun callerDisconnected(exchange: Exchange)
}
