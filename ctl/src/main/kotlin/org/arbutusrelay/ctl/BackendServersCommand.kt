package org.arbutusrelay.ctl

import org.arbutusrelay.schema.api.BackendServerList
import org.arbutusrelay.schema.api.BackendServerView
import picocli.CommandLine.Command

/** Shows the backend servers of an entry host's region. */
@Command(
    name = "backend-servers",
    description = ["Shows the backend servers of the region of the asked host."],
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
