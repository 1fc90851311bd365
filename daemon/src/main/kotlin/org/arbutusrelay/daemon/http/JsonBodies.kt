package org.arbutusrelay.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.request.Authenticator
import java.security.MessageDigest

/** Writes [value] as a JSON response. */
internal fun <T> Context.sendJson(serializer: KSerializer<T>, value: T) {
    contentType("application/json").result(json.encodeToString(serializer, value))
}

/** Parses a JSON body; unknown members, wrong types and values out of range return `MALFORMED_REQUEST`. */
internal fun <T> parseJson(serializer: KSerializer<T>, body: ByteArray): Either<RelayError, T> = try {
    json.decodeFromString(serializer, body.decodeToString()).right()
} catch (e: IllegalArgumentException) {
    // Both a SerializationException and a violated bound of a generated type are IllegalArgumentExceptions.
    RelayError(ErrorKind.MALFORMED_REQUEST, e.message?.lineSequence()?.firstOrNull().orEmpty()).left()
}

/** Compares the bearer token with [token] in constant time; returns `UNAUTHENTICATED` when they differ. */
internal fun Context.requireToken(token: String): Either<RelayError, Unit> {
    val sentToken = Authenticator.bearerToken(header("Authorization")).orEmpty()
    val isEqual = MessageDigest.isEqual(sentToken.encodeToByteArray(), token.encodeToByteArray())
    return if (isEqual) Unit.right() else RelayError(ErrorKind.UNAUTHENTICATED).left()
}
