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
internal fun RelayError.toProblem(requestId: String?): Problem = Problem(
    type = kind.id,
    title = kind.title,
    status = kind.statusCode.toLong(),
    detail = detail,
    outcome = Problem.Outcome.valueOf(kind.outcome.name),
    isResendSafe = kind.isResendSafe,
    retryAfterMs = retryAfterMs,
    requestId = requestId,
)

/** Writes [error] as the whole response. */
internal fun HttpServletResponse.writeProblem(error: RelayError, requestId: String? = null) {
    status = error.kind.statusCode
    contentType = "application/problem+json"
    setHeader("Arbutus-Outcome", error.kind.outcome.id)
    requestId?.let { setHeader("Arbutus-Request-Id", it) }
    error.retryAfterMs?.let { setHeader("Retry-After", ((it + MS_PER_SECOND - 1) / MS_PER_SECOND).toString()) }
    if (error.kind == ErrorKind.UNAUTHENTICATED) setHeader("WWW-Authenticate", "Bearer")
    outputStream.write(json.encodeToString(Problem.serializer(), error.toProblem(requestId)).encodeToByteArray())
}

/** Writes [error] as the whole response of a handler that is still running. */
internal fun Context.problem(error: RelayError) {
    status(error.kind.statusCode)
    res().writeProblem(error)
}

private const val MS_PER_SECOND = 1_000
