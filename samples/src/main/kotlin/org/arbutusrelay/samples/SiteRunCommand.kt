package org.arbutusrelay.samples

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Runs whole sites under failures and exits 0 only if all checks hold. */
@Command(
    name = "site-run",
    description = ["Runs the eight daemons of a sample in one process, under load and failures."],
    mixinStandardHelpOptions = true,
)
internal class SiteRunCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "FOLDER", description = ["Sample, such as samples/registry."])
    lateinit var folder: Path

    @Option(names = ["--seed"], description = ["First seed."], defaultValue = "1")
    var seed: Long = 1

    @Option(names = ["--runs"], description = ["Number of runs; each adds 1 to the seed."], defaultValue = "1")
    var runs: Int = 1

    @Option(names = ["--duration-ms"], description = ["How long requests arrive."], defaultValue = "60000")
    var durationMs: Long = 60_000

    @Option(names = ["--requests"], description = ["Most requests of a run."], defaultValue = "4000")
    var requests: Long = 4_000

    override fun call(): Int {
        val failed = (seed until seed + runs).count { each ->
            val result = SiteRun(folder, each, durationMs, requests).run()
            println("$folder, seed $each")
            println(result.table())
            result.failures.isNotEmpty()
        }
        return if (failed == 0) 0 else 1
    }
}

/** Runs the command with the arguments of the command line. */
public fun main(arguments: Array<String>): Unit = exitProcess(CommandLine(SiteRunCommand()).execute(*arguments))
