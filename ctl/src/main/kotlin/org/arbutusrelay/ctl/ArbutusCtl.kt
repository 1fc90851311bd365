package org.arbutusrelay.ctl

import org.arbutusrelay.ctl.demo.DemoCommand
import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** The operators' command line. */
@Command(
    name = "arbutusctl",
    description = ["Publishes manifests to arbutusrelay and shows its state."],
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

/** Runs `arbutusctl` and ends the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(commandLine().execute(*args))
}

/** Returns the command line with the exit codes of this project. */
internal fun commandLine(): CommandLine = CommandLine(ArbutusCtl())
    .setCaseInsensitiveEnumValuesAllowed(true)
    .setExecutionExceptionHandler { failure, line, _ ->
        line.err.println("arbutusctl: ${failure.message ?: failure::class.simpleName}")
        ExitCode.FAILED
    }
