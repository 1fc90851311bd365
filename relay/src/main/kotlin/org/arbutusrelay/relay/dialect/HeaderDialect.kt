package org.arbutusrelay.relay.dialect

import arrow.core.Either
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.RelayError

/** A part of a prompt that other requests may share, with its length in tokens. */
public data class PromptPart(val id: String, val tokens: Int)

/** What a caller says of its request besides method, path and body. */
public data class RequestMetadata(
    /** Identifies the attempt of the caller; backend servers return it with their response. */
    val attemptId: String,
    /** How long the caller waits, in milliseconds from the arrival of the request; null when it does not say. */
    val deadlineMs: Long?,
    val promptTokens: Int = 0,
    /** Tokens of the response as the caller estimates them, or the most it accepts. */
    val responseTokens: Int = 0,
    val promptParts: List<PromptPart> = emptyList(),
    /** Last event that the caller already has, or null. */
    val lastEventId: Long? = null,
)

/** What the head of a backend server's response says. */
public data class ResponseMetadata(
    /** Attempt that the response belongs to; null when it names none. */
    val attemptId: String?,
    /** True when the backend server states that it did not run the request. */
    val isNotExecuted: Boolean,
    /** True when the response carries the backend server's signature. */
    val isSigned: Boolean,
    val load: ReportedLoad? = null,
)

/** Load of a backend server as its response tells it, in requests. */
public data class ReportedLoad(val running: Long, val queued: Long)

/** What a request to a backend server carries beyond the caller's own headers. */
public data class BackendRequestMetadata(
    /** Backend server that must run the request; null when a host of another region chooses. */
    val backendServer: String?,
    /** How long the caller still waits, in milliseconds. */
    val remainingMs: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Last event that the caller has, when a stream is continued. */
    val lastEventId: Long?,
    /** Address of a backend server from which cached tokens of the prompt can be copied; null when there is none. */
    val cacheSource: String? = null,
)

/** Reads and writes the headers that callers, backend servers and this system agree on. */
public interface HeaderDialect {
    /** Reads the headers of a caller's request; `MALFORMED_REQUEST` when they cannot be used. */
    public fun decodeRequest(headers: HttpHeaders): Either<RelayError, RequestMetadata>

    /** Changes [headers], a copy of the caller's, into those of the request to a backend server. */
    public fun encodeRequest(headers: HttpHeaders, metadata: BackendRequestMetadata)

    /** Reads the head of a response. */
    public fun decodeResponse(statusCode: Int, headers: HttpHeaders): ResponseMetadata
}
