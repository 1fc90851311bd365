package org.arbutusrelay.ctl.demo

import org.arbutusrelay.ctl.ExitCode
import org.arbutusrelay.schema.settings.LoadWorkload
import org.arbutusrelay.schema.toml.TomlReader
import org.arbutusrelay.standin.load.LoadGenerator
import org.arbutusrelay.standin.load.LoadReport
import org.arbutusrelay.standin.load.LoadResult
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs a daemon and stand-in backend servers in one process. */
@Command(
    name = "demo",
    description = ["Runs a daemon and stand-in backend servers in one process, with a temporary data folder."],
    mixinStandardHelpOptions = true,
)
internal class DemoCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Option(names = ["--port"], description = ["Port for callers; 0 selects a free port."], defaultValue = "0")
    var port: Int = 0

    @Option(names = ["--requests"], description = ["Send this many requests, print a summary and exit."])
    var requests: Long? = null

    override fun call(): Int = DemoSite(port).use { site ->
        val failure = site.start()
        if (failure != null) {
            spec.commandLine().err.println("arbutusctl demo: $failure")
            return ExitCode.FAILED
        }
        requests?.let { sendRequests(site, it) } ?: serve(site)
    }

    private fun serve(site: DemoSite): Int {
        val out = spec.commandLine().out
        out.println("callers and operators: ${site.address} (operator token ${DemoSite.OPERATOR_TOKEN})")
        site.backendServers.forEach { (name, address) -> out.println("backend server $name: $address") }
        out.println("try:")
        out.println(
            "  curl -N ${site.address}/v1/chat/completions -H 'Authorization: Bearer ${DemoSite.CALLER_TOKEN}' " +
                """-d '{"model":"drafting","stream":true,"messages":[{"role":"user","content":"hello"}]}'""",
        )
        out.println("stop with Ctrl-C")
        out.flush()
        val shutdownLatch = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread(shutdownLatch::countDown))
        shutdownLatch.await()
        return ExitCode.SUCCESS
    }

    private fun sendRequests(site: DemoSite, count: Long): Int {
        val workload = checkNotNull(
            TomlReader.ofLoadWorkload().read(DemoSite.resource("demo-workload.toml")).getOrNull(),
        ) { "the demo workload is invalid" }
        val report = LoadGenerator(withMaxRequests(workload, count), listOf(site.address)).run()
        val duplicates = site.runCounts().count { (body, runs) -> runs > 1 && body.startsWith("""{"entry":"posting""") }
        spec.commandLine().out.println("${report.summary()} postings_run_twice=$duplicates")
        return if (isComplete(report, count) && duplicates == 0) ExitCode.SUCCESS else ExitCode.FAILED
    }

    private fun withMaxRequests(workload: LoadWorkload, count: Long): LoadWorkload = workload.copy(maxRequests = count)

    private fun isComplete(report: LoadReport, count: Long): Boolean = report.total(LoadResult.COMPLETE) == count
}
