package org.arbutusrelay.ctl

import org.arbutusrelay.schema.api.ManifestStatus
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
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

@Command(name = "check", description = ["Reports all errors in a manifest file."], mixinStandardHelpOptions = true)
internal class ManifestCheckCommand : ManifestFileCommand() {
    override fun run(text: String): Int {
        spec.commandLine().out.println("$file: no errors")
        return ExitCode.SUCCESS
    }
}

@Command(name = "publish", description = ["Validates and publishes a manifest."], mixinStandardHelpOptions = true)
internal class ManifestPublishCommand : ManifestFileCommand() {
    @Mixin
    lateinit var operator: OperatorOptions

    override fun run(text: String): Int = spec.print(operator.post("/v1/manifest", text))
}

@Command(name = "show", description = ["Prints the manifest in force."], mixinStandardHelpOptions = true)
internal class ManifestShowCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    override fun call(): Int = spec.print(operator.get("/v1/manifest"))
}

@Command(name = "status", description = ["Shows the manifest number of each host."], mixinStandardHelpOptions = true)
internal class ManifestStatusCommand : StateCommand("/v1/manifest/status") {
    override fun format(json: String): String {
        val status = JSON.decodeFromString(ManifestStatus.serializer(), json)
        val rows = status.hosts.map { listOf(it.hostName, it.region, it.number.toString(), it.lag.toString()) }
        return "newest ${status.newestNumber} ${status.digest}\n" +
            table(listOf("HOST", "REGION", "NUMBER", "LAG"), rows)
    }
}

/** Base of commands that read a manifest file; if it is invalid, they report all its errors and do nothing else. */
internal abstract class ManifestFileCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(paramLabel = "FILE", description = ["Manifest file (TOML)."])
    lateinit var file: Path

    override fun call(): Int = ManifestFile.read(file).fold(
        { errors ->
            errors.forEach(spec.commandLine().err::println)
            ExitCode.USAGE
        },
        ::run,
    )

    /** Runs the command on the text of a valid manifest and returns the exit code. */
    protected abstract fun run(text: String): Int
}
