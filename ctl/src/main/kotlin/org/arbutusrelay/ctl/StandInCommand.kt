package org.arbutusrelay.ctl

import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.standin.announce.Announcer
import org.arbutusrelay.standin.announce.ServerLoad
import org.arbutusrelay.standin.engine.EngineModel
import org.arbutusrelay.standin.engine.StandInEngine
import org.arbutusrelay.standin.service.StandInService
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs a stand-in backend server that announces itself to the entry hosts until it is stopped. */
@Command(
    name = "standin",
    description = ["Runs a stand-in backend server until it is stopped; on SIGTERM it leaves and drains."],
    mixinStandardHelpOptions = true,
)
internal class StandInCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    /** Type of the stand-in backend server. */
    internal enum class Type { ENGINE, PLAIN }

    @Option(names = ["--type"], description = ["\${COMPLETION-CANDIDATES}"], required = true)
    lateinit var type: Type

    @Option(names = ["--name"], description = ["Name of the backend server."], required = true)
    lateinit var name: String

    @Option(names = ["--service"], description = ["Service that it serves."], required = true)
    lateinit var service: String

    @Option(names = ["--region"], description = ["Region."], required = true)
    lateinit var region: String

    @Option(names = ["--availability-zone"], description = ["Availability zone."], required = true)
    lateinit var availabilityZone: String

    @Option(names = ["--port"], description = ["Port to listen on; 0 selects a free port."], defaultValue = "0")
    var port: Int = 0

    @Option(names = ["--capacity"], description = ["Maximum number of concurrent requests."], defaultValue = "32")
    var capacity: Int = 0

    @Option(names = ["--host"], description = ["Address of an entry host; may be repeated."], required = true)
    lateinit var hosts: List<String>

    @Option(names = ["--token"], description = ["Token that authenticates announcements."], required = true)
    lateinit var token: String

    override fun call(): Int = when (type) {
        Type.ENGINE -> StandInEngine(EngineModel(capacity = capacity), port).use { serve(it.address, it::load) }
        Type.PLAIN -> StandInService(port = port).use { serve(it.address, it::load) }
    }

    private fun serve(address: String, load: () -> ServerLoad): Int {
        val announcement = Announcement(
            name = name,
            service = service,
            region = region,
            availabilityZone = availabilityZone,
            address = address,
            incarnation = System.currentTimeMillis(),
            sequence = 1,
            capacity = capacity.toLong(),
            models = listOf(service),
        )
        val announcer = Announcer(hosts, token, announcement, load).start()
        val shutdownLatch = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                announcer.leave()
                awaitIdle(load)
                shutdownLatch.countDown()
            },
        )
        spec.commandLine().out.println("$name serves $service at $address")
        shutdownLatch.await()
        return ExitCode.SUCCESS
    }

    /** Waits until running and queued requests have completed, so that a graceful shutdown interrupts none. */
    private fun awaitIdle(load: () -> ServerLoad) {
        Thread.sleep(LEAVE_GRACE_MS)
        while (load().running + load().queued > 0) Thread.sleep(POLL_INTERVAL_MS)
    }

    private companion object {
        /** Time for entry hosts to process the departure and stop sending new requests. */
        private const val LEAVE_GRACE_MS = 3_000L
        private const val POLL_INTERVAL_MS = 50L
    }
}
