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
    /** Tokens at the head of the prompt that other requests may share. */
    val sharedTokens: Int = 0,
    /** Hash of the shared head of the prompt, for affinity; 0 when there is none. */
    val affinityHash: Long = 0,
    /** True when a backend server can copy cached tokens from another one of its region. */
    val canImportCache: Boolean = false,
    /** True when the response is a stream, which is late by its first event and not by its last. */
    val isStream: Boolean = false,
    /** Time until the first byte that callers expect, in milliseconds; 0 when nothing is known of it. */
    val targetMs: Long = 0,
    /** When the request arrived, on the local monotonic clock, in milliseconds. */
    val submittedAtMs: Long = 0,
    /** Digest of the request, equal for resends. */
    val digest: String = "",
    /** True when the request must run on a backend server with nothing else in flight. */
    val isIsolated: Boolean = false,
    /** True when the request was forwarded by another region and may not be sent on. */
    val isForwarded: Boolean = false,
    /** Backend servers that already failed this request; they are chosen last. */
    val triedBackendServers: Set<String> = emptySet(),
)
