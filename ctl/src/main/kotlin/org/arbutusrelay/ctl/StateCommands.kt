package org.arbutusrelay.ctl

import kotlinx.serialization.json.Json
import org.arbutusrelay.schema.api.BackendServerList
import org.arbutusrelay.schema.api.HostList
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Shows the hosts that an entry host knows. */
@Command(name = "hosts", description = ["Shows the hosts of the system."], mixinStandardHelpOptions = true)
internal class HostsCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    @Option(names = ["--json"], description = ["Print JSON."])
    var isJson: Boolean = false

    override fun call(): Int = spec.print(operator.get("/v1/hosts").map { if (isJson) it else hostTable(it) })

    private fun hostTable(json: String): String {
        val hosts = STATE_JSON.decodeFromString(HostList.serializer(), json).hosts
        val header = listOf("HOST", "REGION", "AVAILABILITY ZONE", "ADDRESS", "LOAD/1000", "MANIFEST", "STATE")
        return table(
            header,
            hosts.map { host ->
                val state = listOfNotNull(
                    "leaving".takeIf { host.isLeaving },
                    "suspected".takeIf { host.isSuspected },
                    "state host".takeIf { host.isStateHost },
                ).joinToString(", ")
                listOf(host.hostName, host.region, host.availabilityZone, host.address) +
                    listOf(host.loadPermille.toString(), host.manifestNumber.toString(), state)
            },
        )
    }
}

/** Shows the backend servers of an entry host's region. */
@Command(
    name = "backend-servers",
    description = ["Shows the backend servers of the region of the asked host."],
    mixinStandardHelpOptions = true,
)
internal class BackendServersCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Mixin
    lateinit var operator: OperatorOptions

    @Option(names = ["--json"], description = ["Print JSON."])
    var isJson: Boolean = false

    override fun call(): Int = spec.print(
        operator.get("/v1/backend-servers").map {
            if (isJson) it else serverTable(it)
        },
    )

    private fun serverTable(json: String): String {
        val servers = STATE_JSON.decodeFromString(BackendServerList.serializer(), json).backendServers
        val header = listOf("BACKEND SERVER", "SERVICE", "AVAILABILITY ZONE", "RUNNING", "QUEUED", "CAPACITY", "STATE")
        return table(
            header,
            servers.map {
                listOf(it.name, it.service, it.availabilityZone, it.running.toString(), it.queued.toString()) +
                    listOf(it.capacity.toString(), it.state.name.lowercase())
            },
        )
    }
}

private val STATE_JSON = Json { ignoreUnknownKeys = true }
