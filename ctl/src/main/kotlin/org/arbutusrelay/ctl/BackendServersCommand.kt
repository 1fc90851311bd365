package org.arbutusrelay.ctl

import org.arbutusrelay.schema.api.BackendServerList
import org.arbutusrelay.schema.api.BackendServerView
import picocli.CommandLine.Command

/** Lists the backend servers in the region of an entry host. */
@Command(
    name = "backend-servers",
    description = ["Lists the backend servers in the region of the queried host."],
    mixinStandardHelpOptions = true,
)
internal class BackendServersCommand : StateCommand("/v1/backend-servers") {
    override fun format(json: String): String = table(
        listOf("BACKEND SERVER", "SERVICE", "AVAILABILITY ZONE", "RUNNING", "QUEUED", "CAPACITY", "STATE"),
        JSON.decodeFromString(BackendServerList.serializer(), json).backendServers.map(::row),
    )

    private fun row(server: BackendServerView): List<String> = listOf(
        server.name,
        server.service,
        server.availabilityZone,
        server.running.toString(),
        server.queued.toString(),
        server.capacity.toString(),
        server.state.name.lowercase(),
    )
}
