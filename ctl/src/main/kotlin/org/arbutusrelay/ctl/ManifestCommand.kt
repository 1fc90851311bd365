package org.arbutusrelay.ctl

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.arbutusrelay.core.manifest.ManifestValidator
import org.arbutusrelay.schema.api.ManifestStatus
import org.arbutusrelay.schema.toml.TomlReader
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Checks, publishes and shows manifests. */
@Command(
    name = "manifest",
    description = ["Checks, publishes and shows manifests."],
    mixinStandardHelpOptions = true,
    subcommands = [
        ManifestCheckCommand::class,
        ManifestPublishCommand::class,
        ManifestShowCommand::class,
        ManifestStatusCommand::class,
    ],
)
internal class ManifestCommand

@Command(name = "check", description = ["Reports all errors of a manifest."], mixinStandardHelpOptions = true)
internal class ManifestCheckCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(paramLabel = "FILE", description = ["Manifest in TOML."])
    lateinit var file: Path

    override fun call(): Int = readManifest(file).fold(
        { errors ->
            errors.forEach(spec.commandLine().err::println)
            ExitCode.USAGE
        },
        {
            spec.commandLine().out.println("$file: no errors")
            ExitCode.DONE
        },
    )
}

@Command(name = "publish", description = ["Publishes a manifest."], mixinStandardHelpOptions = true)
internal class ManifestPublishCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    @Parameters(paramLabel = "FILE", description = ["Manifest in TOML."])
    lateinit var file: Path

    override fun call(): Int = readManifest(file).fold(
        { errors ->
            errors.forEach(spec.commandLine().err::println)
            ExitCode.USAGE
        },
        { text -> spec.print(operator.post("/v1/manifest", text)) },
    )
}

@Command(name = "show", description = ["Prints the manifest in force."], mixinStandardHelpOptions = true)
internal class ManifestShowCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    override fun call(): Int = spec.print(operator.get("/v1/manifest"))
}

@Command(name = "status", description = ["Shows each host's manifest number."], mixinStandardHelpOptions = true)
internal class ManifestStatusCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    @Option(names = ["--json"], description = ["Print JSON."])
    var isJson: Boolean = false

    override fun call(): Int = spec.print(operator.get("/v1/manifest/status").map { if (isJson) it else table(it) })

    private fun table(json: String): String {
        val status = JSON.decodeFromString(ManifestStatus.serializer(), json)
        val rows = status.hosts.map { listOf(it.hostName, it.region, it.number.toString(), it.lag.toString()) }
        return "newest ${status.newestNumber} ${status.digest}\n" +
            table(listOf("HOST", "REGION", "NUMBER", "LAG"), rows)
    }

    private companion object {
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}

/** Returns the text of a manifest without errors, or all errors as lines for people. */
internal fun readManifest(file: Path): Either<List<String>, String> = readText(file).fold(
    { Either.Left(listOf(it)) },
    { text ->
        val fileName = file.fileName.toString()
        TomlReader.ofManifest().read(text).fold(
            { errors -> Either.Left(errors.map { it.describe(fileName) }) },
            { manifest ->
                val errors = ManifestValidator.errors(manifest).map { "$fileName: ${it.path}: ${it.message}" }
                if (errors.isEmpty()) Either.Right(text) else Either.Left(errors)
            },
        )
    },
)

/** Returns the text of [file], or why it cannot be read. */
internal fun readText(file: Path): Either<String, String> = try {
    Either.Right(Files.readString(file))
} catch (e: IOException) {
    Either.Left("$file: cannot be read: ${e.message}")
}
