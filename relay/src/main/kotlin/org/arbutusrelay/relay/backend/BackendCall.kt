package org.arbutusrelay.relay.backend

import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.relay.EmbeddedHead
import org.arbutusrelay.core.relay.EmbeddedHeadRule

/** A request to a backend server, including its body. */
internal class BackendRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    /** Identifier that responses to the request carry; the same for each send of the request, and on each host. */
    val requestId: String,
    /** Time until which the caller waits, on the monotonic clock, in milliseconds. */
    val deadlineMs: Long,
)

/** Status and headers of a response. */
internal class BackendHead(
    val statusCode: Int,
    val headers: HttpHeaders,
    /** True if a length or chunks mark the end of the body; otherwise it ends with the connection. */
    val isSelfDelimited: Boolean,
)

/** Reason why a call ended without a complete response. */
internal enum class CallFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED,

    /** The connection ended or was reset before the response was complete. */
    BROKEN,

    /** The received data is not a valid HTTP response. */
    MALFORMED,

    /** Another response began inside the body, so that the body can't be told to be whole. */
    SECOND_RESPONSE,

    /** The body was cut, and the beginning of another response filled it up to its length. */
    FILLED_BODY,
}

/** Receives the response to a call. Called on the event loop; at most one of [onComplete] and [onFailure] is called. */
internal interface BackendListener : EmbeddedHeadRule {
    /** True if another host responds, which checks the responses of its servers itself and writes none twice. */
    val isFromHost: Boolean

    /**
     * Returns true when the response with this head belongs to the request; called before [onHead].
     *
     * On a connection that [isReused], a late copy of an earlier response may arrive in place of the response.
     */
    fun matchesRequest(head: BackendHead, isReused: Boolean): Boolean

    /** The head of the response arrived; returns false when the body is to be discarded. */
    fun onHead(head: BackendHead): Boolean

    /** The next bytes of the body arrived. */
    fun onBody(bytes: ByteArray)

    /** Another response with [head] began inside the body, which ends before it. */
    fun onSecondResponse(head: EmbeddedHead)

    /** The next bytes of the body of the second response arrived. */
    fun onSecondBody(bytes: ByteArray)

    /** The response is complete. */
    fun onComplete()

    /** The call ended without a complete response. */
    fun onFailure(failure: CallFailure)
}

/** A call in progress. */
internal interface BackendCall {
    /** Cancels the call and closes its connection; the listener is not called again. */
    fun cancel()

    /** Pauses or resumes reading the response, so that a slow caller does not exhaust memory. */
    fun setAutoRead(isEnabled: Boolean)
}
