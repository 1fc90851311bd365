package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.digest.sha256Hex
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.manifest.ManifestService
import org.arbutusrelay.schema.manifest.Caller

/** Authenticates callers by their bearer tokens. */
public class Authenticator(private val manifests: ManifestService) {
    /** Returns the caller of an `Authorization` header, or `UNAUTHENTICATED`, or `NOT_READY` without a manifest. */
    public fun authenticate(authorization: String?): Either<RelayError, Caller> {
        val manifest = manifests.current ?: return RelayError(ErrorKind.NOT_READY, "no manifest is in force").left()
        val token = bearerToken(authorization) ?: return RelayError(ErrorKind.UNAUTHENTICATED).left()
        return manifest.callerOfToken(sha256Hex(token.encodeToByteArray()))?.right()
            ?: RelayError(ErrorKind.UNAUTHENTICATED).left()
    }

    public companion object {
        private const val SCHEME = "Bearer "

        /** Returns the token of an `Authorization` header with the scheme `Bearer`, or null. */
        public fun bearerToken(authorization: String?): String? = authorization
            ?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }
            ?.substring(SCHEME.length)?.trim()?.takeIf(String::isNotEmpty)
    }
}
