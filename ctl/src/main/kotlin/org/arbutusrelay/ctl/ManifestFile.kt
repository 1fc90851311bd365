package org.arbutusrelay.ctl

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.manifest.ManifestValidator
import org.arbutusrelay.schema.toml.TomlReader
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates manifest files. */
internal object ManifestFile {
    /** Returns the text of a valid manifest, or one human-readable line for each error. */
    fun read(file: Path): Either<List<String>, String> = readText(file).mapLeft(::listOf).flatMap { text ->
        val fileName = file.fileName.toString()
        TomlReader.ofManifest().read(text).mapLeft { errors -> errors.map { it.describe(fileName) } }
            .flatMap { manifest ->
                val errors = ManifestValidator.errors(manifest).map { "$fileName: ${it.path}: ${it.message}" }
                if (errors.isEmpty()) text.right() else errors.left()
            }
    }
}

/** Returns the text of [file], or an error message when it cannot be read. */
internal fun readText(file: Path): Either<String, String> = try {
    Files.readString(file).right()
} catch (e: IOException) {
    "$file: cannot be read: ${e.message}".left()
}
