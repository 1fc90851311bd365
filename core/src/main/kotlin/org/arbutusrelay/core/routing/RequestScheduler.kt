package org.arbutusrelay.core.routing

import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.api.CacheEvents

/**
 * Decides whether, when and where each request runs.
 *
 * The scheduler combines admission, region selection and backend server selection. It is safe to call from several
 * threads, and it reads no clock: each call passes the monotonic time in milliseconds. [RequestProfile.id] identifies a
 * request; each placed attempt must be ended by [complete] exactly once.
 */
public interface RequestScheduler {
    /** Replaces the routing table that decisions are based on. */
    public fun updateTable(table: RoutingTable)

    /** Places, queues or refuses a request. */
    public fun submit(profile: RequestProfile, nowMs: Long): Placement

    /** Records that the first byte of the response arrived. */
    public fun recordFirstByte(attempt: PlacedAttempt, nowMs: Long)

    /** Ends an attempt and returns the queued requests that can be placed or must be refused now. */
    public fun complete(attempt: PlacedAttempt, result: AttemptResult, nowMs: Long): List<QueuedPlacement>

    /** Returns the queued requests that can be placed or must be refused now; called at least every 20 ms. */
    public fun poll(nowMs: Long): List<QueuedPlacement>

    /** Cancels a queued request; returns false when it is not in the queue. */
    public fun cancel(profile: RequestProfile): Boolean

    /** Returns true when a failed request may be retried, and spends the retry budget in that case. */
    public fun tryRetry(profile: RequestProfile, nowMs: Long): Boolean

    /**
     * Places a hedge of a running request on another backend server, or returns null when no hedge is due or allowed.
     */
    public fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt?

    /** Applies cache events of an engine; a gap in the sequence clears the entries that it makes uncertain. */
    public fun recordCacheEvents(backendServer: String, events: CacheEvents)

    /** Returns the share of the admission limit in use, in thousandths. */
    public fun loadPermille(): Long
}

/** The scheduler's decision on a request. */
public sealed interface Placement {
    /** The request runs on a backend server of this region now. */
    public data class Run(val attempt: PlacedAttempt) : Placement

    /** The request is queued; [RequestScheduler.poll] or [RequestScheduler.complete] returns it later. */
    public data object Queued : Placement

    /** The request is forwarded to another region; the attempt must be ended like any other. */
    public data class Forward(val attempt: PlacedAttempt, val region: String) : Placement

    /** The request is refused and was not run. */
    public data class Refused(val error: RelayError) : Placement
}

/** A decision on a queued request. */
public data class QueuedPlacement(val profile: RequestProfile, val placement: Placement)

/** An attempt that holds a slot until it is completed. */
public data class PlacedAttempt(
    val profile: RequestProfile,
    /** Name of the backend server; empty when the request is forwarded to another region. */
    val backendServer: String,
    /** Incarnation of the backend server. */
    val incarnation: Long,
    /** Base address of the backend server; empty when the request is forwarded to another region. */
    val address: String,
    /** Number of the attempt within the scheduler. */
    val attemptNumber: Long,
    val placedAtMs: Long,
    /** True when the attempt is a hedge. */
    val isHedge: Boolean = false,
    /** Region that runs the attempt. */
    val region: String,
    /** Address of a backend server that has more of the prompt cached; empty when there is none. */
    val cacheSourceAddress: String = "",
    /** Inputs to the selection; null when the scheduler does not report them. */
    val basis: PlacementBasis? = null,
    /** Software version of the backend server; empty if it states none, or when the request is forwarded. */
    val softwareVersion: String = "",
)

/** How an attempt ended. */
public enum class AttemptResult {
    /** The response was complete. */
    COMPLETE,

    /** The backend server returned a server error. */
    SERVER_ERROR,

    /** The connection was lost before the response was complete. */
    CONNECTION_LOST,

    /** No connection could be opened. */
    UNREACHABLE,

    /** The backend server or region did not run the request, because it is overloaded or leaving. */
    REFUSED,

    /** The deadline passed. */
    TIMED_OUT,

    /** The caller disconnected, or another attempt of the hedge completed first. */
    CANCELLED,
}
