package org.arbutusrelay.ctl

import org.arbutusrelay.schema.api.HostList
import org.arbutusrelay.schema.api.HostView
import picocli.CommandLine.Command

/** Lists the hosts in the membership view of an entry host. */
@Command(name = "hosts", description = ["Lists the hosts of the system."], mixinStandardHelpOptions = true)
internal class HostsCommand : StateCommand("/v1/hosts") {
    override fun format(json: String): String = table(
        listOf("HOST", "REGION", "AVAILABILITY ZONE", "ADDRESS", "LOAD/1000", "MANIFEST", "STATE"),
        JSON.decodeFromString(HostList.serializer(), json).hosts.map(::row),
    )

    private fun row(host: HostView): List<String> = listOf(
        host.hostName,
        host.region,
        host.availabilityZone,
        host.address,
        host.loadPermille.toString(),
        host.manifestNumber.toString(),
        listOfNotNull(
            "leaving".takeIf { host.isLeaving },
            "suspected".takeIf { host.isSuspected },
            "state host".takeIf { host.isStateHost },
        ).joinToString(", "),
    )
}
