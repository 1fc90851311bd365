package org.arbutusrelay.daemon.backend

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.schema.message.HeaderField

/** A request to a backend server. */
public class BackendRequest(
    /** Request identifier in text form; sent as `Arbutus-Request-Id`. */
    public val requestId: String,
    /** Base URL of the backend server, such as `http://127.0.0.1:9000`. */
    public val address: String,
    public val method: String,
    /** Path and query, starting with a slash. */
    public val target: String,
    public val headers: List<HeaderField>,
    public val body: ByteArray,
    /** Time remaining until the deadline, in milliseconds. */
    public val timeoutMs: Long,
    public val isIdempotent: Boolean,
    /** True for model engines, which support resuming and cancelling streams. */
    public val isEngine: Boolean,
    /** W3C trace context of this hop; empty if there is none. */
    public val traceParent: String = "",
)

/** Status and content type of a response. */
public data class ResponseHead(
    val statusCode: Int,
    val contentType: String,
    /** Name of the responding backend server. */
    val backendServer: String = "",
) {
    /** True for server-sent events, whose end is marked by a final event. */
    public val isEventStream: Boolean get() = contentType.startsWith(EVENT_STREAM)

    public companion object {
        /** Media type of server-sent events. */
        public const val EVENT_STREAM: String = "text/event-stream"
    }
}

/** Receives a response incrementally; called by one thread at a time and may block it. */
public interface ResponseListener {
    /** Starts the response; returns false if another attempt already responds, which cancels this attempt. */
    public fun onHead(head: ResponseHead): Boolean

    /** Receives the next bytes of the response; throws [CallerDisconnectedException] if the caller disconnected. */
    public fun onData(data: ByteArray)
}

/** Thrown by a [ResponseListener] if the caller has disconnected. */
public class CallerDisconnectedException(cause: Throwable? = null) :
    RuntimeException("the caller has disconnected", cause)

/** The end of an attempt: completion, failure or cancellation. */
public sealed interface AttemptEnd {
    /** The complete response was passed to the listener. */
    public data class Complete(val statusCode: Int) : AttemptEnd

    /** The attempt failed; [mayHaveRun] is false only if the request definitely did not run and will not run. */
    public data class Failed(val error: RelayError, val result: AttemptResult, val mayHaveRun: Boolean) : AttemptEnd

    /** The attempt was cancelled because another attempt responded or the caller disconnected. */
    public data class Cancelled(val isCallerDisconnected: Boolean, val mayHaveRun: Boolean) : AttemptEnd
}

/** Reason for dropping a part of a response. */
public enum class DropReason {
    /** The part has already been delivered. */
    DUPLICATE,

    /** A preceding part is missing. */
    OUT_OF_ORDER,

    /** The part belongs to another request. */
    FOREIGN,

    /** The request of the part has ended. */
    LATE,
    ;

    /** Label in metrics, such as `out_of_order`. */
    public val id: String = name.lowercase()
}
