package org.arbutusrelay.relay.dialect

import arrow.core.Either
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.StatedLimit

/** A part of a prompt that several requests may share, with its length in tokens. */
public data class PromptPart(val id: String, val tokens: Int)

/** Metadata of a caller's request, read from its headers. */
public data class RequestMetadata(
    /** Identifies the caller's attempt; backend servers echo it in their response. */
    val attemptId: String,
    /** Time the caller waits, in milliseconds from the arrival of the request; null when not specified. */
    val deadlineMs: Long?,
    val promptTokens: Int = 0,
    /** Estimated response length in tokens, or the maximum that the caller accepts. */
    val responseTokens: Int = 0,
    val promptParts: List<PromptPart> = emptyList(),
    /** ID of the last event that the caller has received, or null. */
    val lastEventId: Long? = null,
    /** Caller's attempt that received the first event of the stream which it resumes, or null. */
    val resumedAttemptId: String? = null,
    /** Key of the caller, a secret; null if it sent none, or several. */
    val key: String? = null,
    /** Tokens of the prompt and of the longest response that the caller accepts; null when not specified. */
    val statedTokens: Long? = null,
) {
    override fun toString(): String = "RequestMetadata($attemptId)"
}

/** What a backend server is told of the tenant of a request; the caller's key is not a part of it. */
public data class RequestTenancy(
    /** Null on a route that needs no key. */
    val tenantName: String?,
)

/** Metadata of a backend server's response, read from its head. */
public data class ResponseMetadata(
    /** Attempt that the response belongs to; null when not specified. */
    val attemptId: String?,
    /** True when the backend server reports that it did not run the request. */
    val isNotExecuted: Boolean,
    /** True when the response carries the backend server's signature. */
    val isSigned: Boolean,
    val load: ReportedLoad? = null,
    /** True when the backend server states that it is leaving, after which it gets no more requests. */
    val isLeaving: Boolean = false,
    /** Rate of requests that the backend server takes from all hosts together. */
    val limit: StatedLimit = StatedLimit.None,
)

/** Load of a backend server as reported in its response, in requests. */
public data class ReportedLoad(
    val running: Long,
    val queued: Long,
    /** How long work currently takes there, in percent of its usual time. */
    val workPercent: Long? = null,
)

/** Metadata that the relay adds to the caller's headers in a request to a backend server. */
public data class BackendRequestMetadata(
    /** Backend server that must run the request; null when a host of another region selects it. */
    val backendServer: String?,
    /** Time left until the caller's deadline, in milliseconds. */
    val remainingMs: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    /** ID of the last event that the caller has received, when a stream is resumed; otherwise null. */
    val lastEventId: Long?,
    /** Address of a backend server from which cached tokens of the prompt can be copied; null when there is none. */
    val cacheSource: String? = null,
    /** Replaces what the caller sent about itself; null if the document has no tenants. */
    val tenancy: RequestTenancy? = null,
)

/** Decodes and encodes the headers used between callers, the relay and backend servers. */
public interface HeaderDialect {
    /** Decodes the headers of a caller's request; returns `MALFORMED_REQUEST` when they are invalid. */
    public fun decodeRequest(headers: HttpHeaders): Either<RelayError, RequestMetadata>

    /** Converts [headers], a copy of the caller's headers, to those of the request to a backend server. */
    public fun encodeRequest(headers: HttpHeaders, metadata: BackendRequestMetadata)

    /** Returns true if the header [name] of a response identifies the attempt that it belongs to. */
    public fun isAttemptId(name: String): Boolean

    /** Decodes the head of a response. */
    public fun decodeResponse(statusCode: Int, headers: HttpHeaders): ResponseMetadata
}
