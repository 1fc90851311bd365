package org.arbutusrelay.daemon.request

/** Tracks requests that may crash the backend servers that run them. */
public interface SuspectTracker {
    /** Returns how a request with [digest] may run now. */
    public fun decide(digest: String, nowMs: Long): SuspectDecision

    /** Records that a request is sent to [incarnation] of a backend server, so that one crash counts once. */
    public fun recordStart(digest: String, backendServer: String, incarnation: Long, nowMs: Long)

    /** Records that the backend server responded to a request, which clears it of suspicion. */
    public fun recordResponse(digest: String, backendServer: String, nowMs: Long)

    /** Records that a run ended without evidence: it was not run, was cancelled or timed out. */
    public fun recordInconclusive(digest: String, backendServer: String, nowMs: Long)

    /**
     * Records that the connection to a backend server was lost during a run; all requests there become suspects.
     *
     * Each request that was in flight there reports the same crash, which must count once for each of them.
     */
    public fun recordCrash(digest: String, backendServer: String, nowMs: Long)
}

/** How a request may run. */
public enum class SuspectDecision {
    /** The request is not suspected. */
    RUN,

    /** The request may run on a backend server with nothing else in flight. */
    RUN_ISOLATED,

    /** The request is refused. */
    REFUSE,
}
