package org.arbutusrelay.daemon.backend

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.schema.message.HeaderField

/** One call to a backend server. */
public class BackendRequest(
    /** Text form of the request identifier; sent as `Arbutus-Request-Id`. */
    public val requestId: String,
    /** Base address of the backend server, such as `http://127.0.0.1:9000`. */
    public val address: String,
    public val method: String,
    /** Path and query, beginning with a slash. */
    public val target: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    /** Time left until the deadline, in milliseconds. */
    public val timeoutMs: Long,
    public val isIdempotent: Boolean,
    /** True for model engines, which resume and cancel streams. */
    public val isEngine: Boolean,
    /** W3C trace context of this hop; empty when there is none. */
    public val traceParent: String = "",
)

/** Status and headers of a response. */
public data class ResponseHead(
    val statusCode: Int,
    val contentType: String,
    /** Backend server that responds. */
    val backendServer: String = "",
) {
    /** True for server-sent events, whose end is marked by an event. */
    public val isEventStream: Boolean get() = contentType.startsWith(EVENT_STREAM)

    public companion object {
        /** Media type of server-sent events. */
        public const val EVENT_STREAM: String = "text/event-stream"
    }
}

/** Receives a response as it arrives; called from one thread at a time, and may block it. */
public interface ResponseListener {
    /** Begins the response; returns false when another attempt already responds, which ends this one. */
    public fun onHead(head: ResponseHead): Boolean

    /** Takes the next bytes of the response; throws [CallerDisconnectedException] when nobody reads them any more. */
    public fun onData(data: ByteArray)
}

/** Thrown by a [ResponseListener] when the caller has disconnected. */
public class CallerDisconnectedException(cause: Throwable? = null) :
    RuntimeException("the caller has disconnected", cause)

/** How an attempt ended. */
public sealed interface AttemptEnd {
    /** The response was complete and was handed to the listener. */
    public data class Complete(val statusCode: Int) : AttemptEnd

    /** The attempt failed; [mayHaveRun] is false only when the request certainly was not and will not be run. */
    public data class Failed(val error: RelayError, val result: AttemptResult, val mayHaveRun: Boolean) : AttemptEnd

    /** The attempt was cancelled, because another attempt responds or the caller disconnected. */
    public data class Cancelled(val isCallerDisconnected: Boolean, val mayHaveRun: Boolean) : AttemptEnd
}

/** Reasons why a part of a response was dropped. */
public enum class DropReason {
    /** The part was delivered before. */
    DUPLICATE,

    /** A part before this one is missing. */
    OUT_OF_ORDER,

    /** The part belongs to another request. */
    FOREIGN,

    /** The request of the part has ended. */
    LATE,
    ;

    /** Name in metrics, such as `out_of_order`. */
    public val id: String = name.lowercase()
}
