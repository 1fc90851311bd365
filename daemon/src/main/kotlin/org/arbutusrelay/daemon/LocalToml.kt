package org.arbutusrelay.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import net.peanuuutz.tomlkt.Toml
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.settings.DaemonSettings

/** Reads settings and manifests without the line and key of an error. */
public object LocalToml {
    /** Reads the settings of a daemon; `MALFORMED_REQUEST` says what is wrong. */
    public fun settings(text: String): Either<RelayError, DaemonSettings> =
        decode(DaemonSettings.serializer(), text, ErrorKind.MALFORMED_REQUEST)

    /** Reads a manifest; `MANIFEST_INVALID` says what is wrong. */
    public fun manifest(text: String): Either<RelayError, Manifest> =
        decode(Manifest.serializer(), text, ErrorKind.MANIFEST_INVALID)

    // The generated types and the parser report what is wrong as an IllegalArgumentException.
    private fun <T> decode(serializer: KSerializer<T>, text: String, kind: ErrorKind): Either<RelayError, T> = try {
        Toml.decodeFromString(serializer, text).right()
    } catch (e: IllegalArgumentException) {
        RelayError(kind, e.message.orEmpty()).left()
    }
}
