package org.arbutusrelay.samples

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Runs complete sites under load and injected failures; exits with 0 only if all checks pass. */
@Command(
    name = "site-run",
    description = ["Runs the eight daemons of a sample in one process, under load and injected failures."],
    mixinStandardHelpOptions = true,
)
internal class SiteRunCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FOLDER", description = ["Sample folder, such as samples/registry."])
    lateinit var folder: Path

    @Option(names = ["--seed"], description = ["Seed of the first run."], defaultValue = "1")
    var seed: Long = 1

    @Option(names = ["--runs"], description = ["Number of runs; each increments the seed."], defaultValue = "1")
    var runs: Int = 1

    @Option(names = ["--duration-ms"], description = ["Duration of the load in milliseconds."], defaultValue = "60000")
    var durationMs: Long = 60_000

    @Option(names = ["--requests"], description = ["Maximum number of requests in a run."], defaultValue = "4000")
    var requests: Long = 4_000

    override fun call(): Int {
        val failedRuns = (seed until seed + runs).count { runSeed ->
            val result = SiteRun(folder, runSeed, durationMs, requests).run()
            println("$folder, seed $runSeed")
            println(result.table())
            result.failures.isNotEmpty()
        }
        return if (failedRuns == 0) 0 else 1
    }
}

/** Runs the command and exits the process with its exit code. */
public fun main(arguments: Array<String>): Unit = exitProcess(CommandLine(SiteRunCommand()).execute(*arguments))
