package org.arbutusrelay.relay.backend

import io.netty.handler.codec.http.HttpHeaders

/** A request to a backend server, complete with its body. */
internal class BackendRequest(val method: String, val uri: String, val headers: HttpHeaders, val body: ByteArray)

/** Head of a response. */
internal class BackendHead(val statusCode: Int, val headers: HttpHeaders)

/** Why a call ended without a complete response. */
internal enum class CallFailure {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED,

    /** The connection ended or was reset before the response was complete. */
    BROKEN,

    /** What arrived is no response to the request. */
    MALFORMED,
}

/** Receives what a backend server sends; called on the event loop, at most once with an end. */
internal interface BackendListener {
    /** Returns true when the response with this head belongs to the request. */
    fun isOwn(head: BackendHead): Boolean

    /** The head of the response arrived; returns false when the rest is of no use. */
    fun onHead(head: BackendHead): Boolean

    /** The next bytes of the body arrived. */
    fun onBody(bytes: ByteArray)

    /** The response is complete. */
    fun onComplete()

    /** The call ended without a complete response. */
    fun onFailure(failure: CallFailure)
}

/** A call in progress. */
internal interface BackendCall {
    /** Ends the call and its connection; the listener hears nothing more. */
    fun cancel()

    /** Stops or resumes reading the response, so that a slow caller does not fill the memory. */
    fun setReading(isReading: Boolean)
}
