package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId

/** Properties of a request that admission and routing use. */
public data class RequestProfile(
    val id: RequestId,
    val callerName: String,
    val serviceName: String,
    val kindName: String,
    /** 0 is the most urgent. */
    val priority: Int,
    val isIdempotent: Boolean,
    /** Time by which the response must be complete, on the local monotonic clock, in milliseconds. */
    val deadlineMs: Long,
    /** Allowed regions, the home region first. */
    val allowedRegions: List<String>,
    /** Chained hashes of the prompt's blocks, in order; empty for plain services. */
    val prefixHashes: List<Long> = emptyList(),
    /** Length of the prompt in tokens, estimated. */
    val promptTokens: Int = 0,
    /** Length of the response in tokens, estimated. */
    val responseTokens: Int = 0,
    /** Length of the prompt prefix that other requests may share, in tokens. */
    val sharedTokens: Int = 0,
    /** Hash of the shared prefix, for affinity; 0 when there is none. */
    val affinityHash: Long = 0,
    /** True when a backend server can import cached tokens from another one of its region. */
    val canImportCache: Boolean = false,
    /** True when the response is a stream, whose lateness is measured at its first event instead of its last. */
    val isStream: Boolean = false,
    /** Target for the time to first byte, in milliseconds; 0 when there is none. */
    val targetMs: Long = 0,
    /** Target for the longest pause between two events of a stream, in milliseconds; 0 when there is none. */
    val targetPauseMs: Long = 0,
    /** Arrival time, on the local monotonic clock, in milliseconds. */
    val submittedAtMs: Long = 0,
    /** Digest of the request, equal for resends. */
    val digest: String = "",
    /** True when the request must run alone on a backend server. */
    val isIsolated: Boolean = false,
    /** True when the request was forwarded by another region and must not be forwarded again. */
    val isForwarded: Boolean = false,
    /** Backend servers that already failed this request; they are selected last. */
    val triedBackendServers: Set<String> = emptySet(),
    /** Events of the stream that the caller has received already. */
    val receivedEvents: Int = 0,
    /** True when the request was submitted before, so that it is counted already. */
    val isResubmitted: Boolean = false,
    /** Software version at which the stream must go on; null if any will do, as before the first event. */
    val softwareVersion: String? = null,
) {
    /** Tokens that the request holds in the memory of a server at its end, as far as its caller states them. */
    val memoryTokens: Long get() = maxOf(0, promptTokens).toLong() + maxOf(0, responseTokens)
}
