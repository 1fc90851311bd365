package org.arbutusrelay.daemon.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.manifest.ManifestError
import org.arbutusrelay.core.manifest.ManifestParser
import org.arbutusrelay.core.manifest.ManifestValidator
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.toml.TomlReader

/** Parses manifests in TOML; returns all schema errors or, if there are none, all validation errors. */
public class TomlManifestParser : ManifestParser {
    private val reader = TomlReader.ofManifest()

    override fun parse(text: String): Either<List<ManifestError>, Manifest> = reader.read(text)
        .mapLeft { errors -> errors.map { ManifestError("line ${it.line}: ${it.path}", it.message) } }
        .flatMap { manifest ->
            val errors = ManifestValidator.errors(manifest)
            if (errors.isEmpty()) manifest.right() else errors.left()
        }
}
