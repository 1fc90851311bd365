package org.arbutusrelay.core.routing

import org.arbutusrelay.core.request.RequestId

/** What admission and routing need to know of a request. */
public data class RequestProfile(
    val id: RequestId,
    val callerName: String,
    val serviceName: String,
    val kindName: String,
    /** 0 is the most urgent. */
    val priority: Int,
    val isIdempotent: Boolean,
    /** When the response must be complete, on the local monotonic clock, in milliseconds. */
    val deadlineMs: Long,
    /** Allowed regions, the home region first. */
    val allowedRegions: List<String>,
    /** Chained hashes of the prompt's blocks, the first block first; empty for plain services. */
    val prefixHashes: List<Long> = emptyList(),
    /** Length of the prompt in tokens, estimated. */
    val promptTokens: Int = 0,
    /** Length of the response in tokens, estimated. */
    val responseTokens: Int = 0,
    /** Digest of the request, equal for resends. */
    val digest: String = "",
    /** True when the request must run on a backend server with nothing else in flight. */
    val isIsolated: Boolean = false,
    /** True when the request was forwarded by another region and may not be sent on. */
    val isForwarded: Boolean = false,
    /** Backend servers that already failed this request; they are chosen last. */
    val triedBackendServers: Set<String> = emptySet(),
)
