package org.arbutusrelay.daemon

import org.arbutusrelay.core.manifest.ManifestView
import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.membership.MembershipService

/** Returns a routing table built from the current state of membership, links and [manifest]. */
internal fun routingTable(
    self: HostIdentity,
    manifest: ManifestView?,
    membership: MembershipService,
    network: LinkNetwork,
    nowMs: Long,
): RoutingTable {
    val reachable = network.connected().values.map { it.region }.toSet()
    val regions = membership.regionSummaries().filterKeys { it in reachable }.mapNotNull { (name, received) ->
        val link = manifest?.link(self.region, name) ?: return@mapNotNull null
        RemoteRegion(name, link, received.summary.services.associateBy { it.service }, nowMs - received.receivedAtMs)
    }
    val costs = manifest?.manifest?.services.orEmpty().associate { service ->
        service.name to service.costs.associate { it.region to it.costMicros }
    }
    return RoutingTable(
        region = self.region,
        availabilityZone = self.availabilityZone,
        backendServers = membership.availableBackendServers().filter { it.region == self.region },
        otherRegions = regions.associateBy { it.name },
        costMicros = costs,
        sentAwayPermille = manifest?.manifest?.sentAwayPermille ?: 0,
    )
}
