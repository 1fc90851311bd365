package org.arbutusrelay.schema.toml

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import net.peanuuutz.tomlkt.Toml
import net.peanuuutz.tomlkt.TomlTable
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.schema.settings.LoadWorkload

/**
 * Reads a TOML document as the type [T] and reports all errors at once.
 *
 * The document is checked against the JSON Schema that [T] was generated from, so that an unknown key, a missing
 * value, a wrong type and a value out of range are each reported with the line and the path.
 */
public class TomlReader<T>(private val serializer: KSerializer<T>, schemaName: String) {
    private val schema = SchemaNode.load(schemaName)

    /** Returns the decoded value, or all errors in [text], sorted by line. */
    public fun read(text: String): Either<List<TomlError>, T> = parse(text).fold(
        { listOf(it).left() },
        { table -> check(text, table) },
    )

    private fun check(text: String, table: TomlTable): Either<List<TomlError>, T> {
        val lines = TomlLines.of(text)
        val errors = SchemaChecker(lines).check(schema, table)
        return if (errors.isEmpty()) decode(table) else errors.sortedBy(TomlError::line).left()
    }

    private fun decode(table: TomlTable): Either<List<TomlError>, T> = try {
        Toml.decodeFromTomlElement(serializer, table).right()
    } catch (e: SerializationException) {
        listOf(TomlError(0, "", e.message ?: "unreadable document")).left()
    }

    public companion object {
        /** Returns a reader of manifests. */
        public fun ofManifest(): TomlReader<Manifest> = TomlReader(Manifest.serializer(), "manifest/manifest")

        /** Returns a reader of daemon settings. */
        public fun ofDaemonSettings(): TomlReader<DaemonSettings> =
            TomlReader(DaemonSettings.serializer(), "settings/daemon-settings")

        /** Returns a reader of load workloads. */
        public fun ofLoadWorkload(): TomlReader<LoadWorkload> =
            TomlReader(LoadWorkload.serializer(), "settings/load-workload")

        /** Returns the line number of [key] or its nearest parent in [text], from 1; 0 if [text] contains neither. */
        public fun lineOf(text: String, key: String): Int = TomlLines.of(text).lineOf(key)

        private fun parse(text: String): Either<TomlError, TomlTable> = try {
            Toml.parseToTomlTable(text).right()
        } catch (e: SerializationException) {
            val message = e.message.orEmpty()
            val line = LINE_IN_MESSAGE.find(message)?.groupValues?.get(1)?.toInt() ?: 0
            TomlError(line, "", message.lineSequence().firstOrNull { it.isNotBlank() } ?: "unreadable document").left()
        }

        private val LINE_IN_MESSAGE = Regex("""L(\d+)""")
    }
}
