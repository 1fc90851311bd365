package org.arbutusrelay.samples

import arrow.core.getOrElse
import org.arbutusrelay.daemon.node.TomlManifestParser
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.settings.DaemonSettings
import org.arbutusrelay.schema.settings.LoadWorkload
import org.arbutusrelay.schema.toml.TomlReader
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText

/** The settings, the manifest and the workload of one user, read from a folder below `samples`. */
public class Sample(private val folder: Path) {
    /** Text of the manifest. */
    public val manifestText: String = folder.resolve("manifest.toml").readText()

    /** The manifest. */
    public val manifest: Manifest =
        TomlManifestParser().parse(manifestText).getOrElse { errors -> error("$folder/manifest.toml: $errors") }

    /** Settings of all hosts in the order of their names. */
    public val hosts: List<DaemonSettings> =
        files(folder.resolve("hosts")).map { read(TomlReader.ofDaemonSettings(), it) }

    /** The load of all callers. */
    public val workload: LoadWorkload = read(TomlReader.ofLoadWorkload(), folder.resolve("workload.toml"))

    private fun files(hosts: Path): List<Path> =
        Files.list(hosts).use { paths -> paths.filter { it.extension == "toml" }.sorted().toList() }

    private fun <T> read(reader: TomlReader<T>, file: Path): T =
        reader.read(file.readText()).getOrElse { errors -> error("$file: $errors") }
}
