package org.arbutusrelay.daemon.http

import io.javalin.http.Context
import jakarta.servlet.http.HttpServletResponse
import kotlinx.serialization.json.Json
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.api.Problem

internal val json: Json = Json {
    ignoreUnknownKeys = false
    encodeDefaults = true
    explicitNulls = false
}

/** Returns the problem body of this error. */
private fun RelayError.toProblem(requestId: String?): Problem = Problem(
    type = kind.id,
    title = kind.title,
    status = kind.statusCode.toLong(),
    detail = detail,
    outcome = Problem.Outcome.valueOf(kind.outcome.name),
    isResendSafe = kind.isResendSafe,
    retryAfterMs = retryAfterMs,
    requestId = requestId,
)

/** Writes [error] as the complete response of a handler that has already returned. */
internal fun HttpServletResponse.writeProblem(error: RelayError, requestId: String) {
    setProblemHeaders(error)
    setHeader("Arbutus-Request-Id", requestId)
    outputStream.write(error.toJson(requestId).encodeToByteArray())
}

/** Sets [error] as the response of a handler that is still running, in place of an earlier result. */
public fun Context.problem(error: RelayError) {
    status(error.kind.statusCode)
    res().setProblemHeaders(error)
    result(error.toJson(null))
}

/** Returns the problem body of this error as JSON. */
internal fun RelayError.toJson(requestId: String?): String =
    json.encodeToString(Problem.serializer(), toProblem(requestId))

private fun HttpServletResponse.setProblemHeaders(error: RelayError) {
    status = error.kind.statusCode
    contentType = "application/problem+json"
    setHeader("Arbutus-Outcome", error.kind.outcome.id)
    error.retryAfterMs?.let { setHeader("Retry-After", ((it + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()) }
    if (error.kind == ErrorKind.UNAUTHENTICATED) setHeader("WWW-Authenticate", "Bearer")
}

private const val MS_PER_SECOND = 1_000
