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

/** The host settings, manifest and workload of a sample deployment, read from a folder below `samples`. */
public class Sample(private val folder: Path) {
    /** Text of the manifest. */
    public val manifestText: String = folder.resolve("manifest.toml").readText()

    /** The parsed manifest. */
    public val manifest: Manifest =
        TomlManifestParser().parse(manifestText).getOrElse { errors -> error("$folder/manifest.toml: $errors") }

    /** Settings of all hosts, ordered by file name. */
    public val hosts: List<DaemonSettings> =
        tomlFiles(folder.resolve("hosts")).map { read(TomlReader.ofDaemonSettings(), it) }

    /** Workload of all callers. */
    public val workload: LoadWorkload = read(TomlReader.ofLoadWorkload(), folder.resolve("workload.toml"))

    private fun tomlFiles(hosts: Path): List<Path> =
        Files.list(hosts).use { paths -> paths.filter { it.extension == "toml" }.sorted().toList() }

    private fun <T> read(reader: TomlReader<T>, file: Path): T =
        reader.read(file.readText()).getOrElse { errors -> error("$file: $errors") }
}
