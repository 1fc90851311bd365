package org.arbutusrelay.relay

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.handler.codec.http.HttpHeaders
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.relay.StatedLimit
import org.arbutusrelay.relay.dialect.BackendRequestMetadata
import org.arbutusrelay.relay.dialect.HeaderDialect
import org.arbutusrelay.relay.dialect.PromptPart
import org.arbutusrelay.relay.dialect.RequestMetadata
import org.arbutusrelay.relay.dialect.ResponseMetadata

/** A minimal dialect for tests with its own headers. */
internal object TestDialect : HeaderDialect {
    /** Name of a backend server for which the encoding of a request fails. */
    const val FAILING_SERVER = "failing"

    override fun decodeRequest(headers: HttpHeaders): Either<RelayError, RequestMetadata> {
        val id = headers["Attempt"] ?: return RelayError(ErrorKind.MALFORMED_REQUEST).left()
        return RequestMetadata(
            id,
            headers["Wait-Ms"]?.toLong(),
            promptParts = headers["Parts"].orEmpty().split(',').filter { it.isNotEmpty() }.map { PromptPart(it, 100) },
            lastEventId = headers["Last-Event-Id"]?.toLong(),
            resumedAttemptId = headers["Resumes"],
            key = headers.getAll("Key").singleOrNull(),
        ).right()
    }

    override fun encodeRequest(headers: HttpHeaders, metadata: BackendRequestMetadata) {
        check(metadata.backendServer != FAILING_SERVER) { "a fault of the relay" }
        headers["Wait-Ms"] = metadata.remainingMs.toString()
        metadata.tenancy?.let { tenancy ->
            headers.remove("Key").remove("Tenant")
            tenancy.tenantName?.let { headers["Tenant"] = it }
        }
        metadata.backendServer?.let { headers["Expect"] = it }
        metadata.lastEventId?.let { headers["Last-Event-Id"] = it.toString() }
    }

    override fun isAttemptId(name: String): Boolean = name.equals("Attempt", ignoreCase = true)

    override fun decodeResponse(statusCode: Int, headers: HttpHeaders): ResponseMetadata = ResponseMetadata(
        attemptId = headers["Attempt"],
        isNotExecuted = headers.contains("Not-Executed"),
        isSigned = headers.contains("Signature"),
        isLeaving = headers.contains("Leaving"),
        limit = StatedLimit.parse(headers.getAll("Limit")),
    )
}
