package org.arbutusrelay.ctl

import org.arbutusrelay.schema.toml.TomlReader
import org.arbutusrelay.standin.load.LoadGenerator
import org.arbutusrelay.standin.load.LoadResult
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable

/** Sends an open-loop workload to entry hosts and prints a report; fails when a response is not the expected one. */
@Command(
    name = "load",
    description = ["Sends an open-loop workload and compares each response with the expected one."],
    mixinStandardHelpOptions = true,
)
internal class LoadCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(paramLabel = "FILE", description = ["Workload file (TOML)."])
    lateinit var file: Path

    @Option(
        names = ["--host"],
        description = ["Address of an entry host; may be repeated (default: \${DEFAULT-VALUE})."],
        defaultValue = "http://127.0.0.1:7700",
    )
    lateinit var hosts: List<String>

    @Option(names = ["--json"], description = ["Print the result as JSON."])
    var isJson: Boolean = false

    override fun call(): Int = readText(file).fold(::usageError) { text ->
        TomlReader.ofLoadWorkload().read(text).fold(
            { errors -> usageError(errors.joinToString("\n") { it.describe(file.fileName.toString()) }) },
            { workload ->
                val report = LoadGenerator(workload, hosts).run()
                spec.commandLine().out.println(if (isJson) report.json() else report.table() + report.summary())
                val mismatches = report.total(LoadResult.WRONG) + report.total(LoadResult.RESEND_DIFFERS)
                if (mismatches == 0L) ExitCode.SUCCESS else ExitCode.FAILED
            },
        )
    }

    private fun usageError(message: String): Int {
        spec.commandLine().err.println(message)
        return ExitCode.USAGE
    }
}
