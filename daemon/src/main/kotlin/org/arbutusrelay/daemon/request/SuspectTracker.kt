package org.arbutusrelay.daemon.request

/** Tracks requests that are suspected of crashing backend servers. */
public interface SuspectTracker {
    /** Returns whether and how a request with [digest] may run. */
    public fun decide(digest: String, nowMs: Long): SuspectDecision

    /** Records a send to [incarnation] of a backend server; one crash of an incarnation counts only once. */
    public fun recordStart(digest: String, backendServer: String, incarnation: Long, nowMs: Long)

    /** Records that the backend server responded, which clears the request of suspicion. */
    public fun recordResponse(digest: String, backendServer: String, nowMs: Long)

    /** Records a run that neither confirms nor clears suspicion: it was refused, cancelled or timed out. */
    public fun recordInconclusive(digest: String, backendServer: String, nowMs: Long)

    /**
     * Records that the connection to a backend server was lost during a run.
     *
     * All requests in flight on the server become suspects. Each of them reports the same crash, which must count only
     * once per request.
     */
    public fun recordCrash(digest: String, backendServer: String, nowMs: Long)
}

/** How a request may run. */
public enum class SuspectDecision {
    /** The request is not suspected. */
    RUN,

    /** The request may run only on a backend server without other requests in flight. */
    RUN_ISOLATED,

    /** The request is refused. */
    REFUSE,
}
