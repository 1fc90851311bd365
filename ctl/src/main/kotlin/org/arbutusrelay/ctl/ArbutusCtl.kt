package org.arbutusrelay.ctl

import org.arbutusrelay.ctl.demo.DemoCommand
import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Root command of the command-line interface for operators. */
@Command(
    name = "arbutusctl",
    description = ["Publishes manifests to arbutusrelay and shows the state of the system."],
    mixinStandardHelpOptions = true,
    version = ["arbutusctl 0.1.0"],
    synopsisSubcommandLabel = "COMMAND",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = ["0:done", "1:refused or failed", "2:wrong usage or settings"],
    subcommands = [
        ManifestCommand::class,
        HostsCommand::class,
        BackendServersCommand::class,
        DemoCommand::class,
        StandInCommand::class,
        LoadCommand::class,
        ExplainCommand::class,
        AutoComplete.GenerateCompletion::class,
    ],
)
public class ArbutusCtl

/** Runs `arbutusctl` and exits the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(commandLine().execute(*args))
}

/** Returns the command line, which reports an uncaught exception as [ExitCode.FAILED]. */
internal fun commandLine(): CommandLine = CommandLine(ArbutusCtl())
    .setCaseInsensitiveEnumValuesAllowed(true)
    .setExecutionExceptionHandler { failure, line, _ ->
        line.err.println("arbutusctl: ${failure.message ?: failure::class.simpleName}")
        ExitCode.FAILED
    }
