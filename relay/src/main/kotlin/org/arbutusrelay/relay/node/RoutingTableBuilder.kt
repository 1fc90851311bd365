package org.arbutusrelay.relay.node

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.core.routing.TurnShare
import org.arbutusrelay.core.site.HostCapacity
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import org.arbutusrelay.schema.settings.SiteBounds

/**
 * Builds the scheduler's routing table from a host's view of its site.
 *
 * [isViewWhole] tells whether a host that is missing in the view is gone, and [servesSharedMachines] whether backend
 * servers share their machines, so that placement has to consider their memory. Not thread-safe.
 */
internal class RoutingTableBuilder(
    private val self: HostIdentity,
    private val bounds: SiteBounds,
    private val isViewWhole: () -> Boolean = { true },
    private val servesSharedMachines: () -> Boolean = { true },
) {
    private var sharingHosts = emptySet<String>()

    fun build(view: SiteView, plan: RoutePlan): RoutingTable {
        val usable = view.backendServers.filter {
            it.service in plan.services && !it.isLeaving && it.availabilityZone !in view.state.evacuatedZones
        }
        val (localServers, remoteServers) = usable.partition { it.region == self.region }
        val reachable = view.forwardHosts.map { it.region }.toSet()
        val regions = remoteServers.groupBy { it.region }.filterKeys { it in reachable }
        val regionHosts = view.entryHosts.filter { it.region == self.region }
        val equalPart = if (regionHosts.isEmpty()) 0.0 else 1.0 / regionHosts.size
        return RoutingTable(
            region = self.region,
            availabilityZone = self.availabilityZone,
            backendServers = localServers,
            otherRegions = regions.mapValues { (name, servers) -> remoteRegion(name, servers) },
            sentAwayPermille = FULL_PERMILLE,
            coldRatesPerSecond = coldRates(localServers, view, plan),
            turnShare = turnShare(view),
            maxRetryBurst = retryBurst(view.entryHosts.size),
            regionHosts = regionHosts.size,
            ownPart = HostCapacity.share(self.hostName, regionHosts) ?: equalPart,
            memoryTokens = if (servesSharedMachines()) memoryTokens(plan) else emptyMap(),
            builtAtMs = view.builtAtMs,
        )
    }

    private fun memoryTokens(plan: RoutePlan): Map<String, Long> =
        plan.services.mapValues { it.value.cacheTokens }.filterValues { it > 0 }

    private fun remoteRegion(name: String, servers: List<BackendServerState>) = RemoteRegion(
        name = name,
        link = RegionLink(self.region, name, REGION_ONE_WAY_DELAY_MS, LINK_BITS_PER_SECOND),
        services = servers.filter { capacityOf(it) > 0 }.groupBy { it.service }
            .mapValues { (service, states) -> summary(service, states) },
        ageMs = 0,
        softwareVersions = servers.groupBy({ it.service }, { it.softwareVersion }).mapValues { it.value.toSet() },
    )

    private fun summary(service: String, states: List<BackendServerState>) = ServiceSummary(
        service = service,
        backendServers = states.size.toLong(),
        capacity = states.sumOf { capacityOf(it) },
        running = states.sumOf { it.running },
        queued = states.sumOf { it.queued },
        predictedMs = 0,
    )

    /** A limited server has room for the requests that it takes in a second, which is about the time of one. */
    private fun capacityOf(server: BackendServerState): Long =
        minOf(server.capacity, server.limit?.limitPermille?.let { it / FULL_PERMILLE } ?: Long.MAX_VALUE)

    /**
     * Returns the request rates that this host may send to cold backend servers.
     *
     * One entry host per region, selected by rendezvous hashing, sends to a given cold backend server, at half of the
     * rate that the server tolerates. Hosts may briefly disagree on the membership, and the total must stay within the
     * limit even then.
     */
    private fun coldRates(
        localServers: List<BackendServerState>,
        view: SiteView,
        plan: RoutePlan,
    ): Map<String, Double> {
        val cold = localServers.filter { it.coldMs > 0 }
        if (cold.isEmpty()) return emptyMap()
        val localHosts = view.entryHosts.filter { it.region == self.region }.map { it.hostName }
        return cold.filter { Rendezvous.rank(it.name, localHosts).firstOrNull() == self.hostName }
            .associate { it.name to (plan.services[it.service]?.coldRatePerSecond ?: 0.0) * COLD_RATE_SHARE }
    }

    /**
     * Returns the hosts that share the turns at limited backend servers.
     *
     * All entry hosts of the region do, those that are leaving too, since they still send. A host that can't tell
     * whether others are gone keeps their turns free, and has none itself until it has once known them all.
     */
    private fun turnShare(view: SiteView): TurnShare {
        val live = view.hosts.filter { it.region == self.region && (!it.isStateHost || it.callerAddress.isNotEmpty()) }
            .map { it.hostName }.toSet() + self.hostName
        sharingHosts = when {
            isViewWhole() -> live
            sharingHosts.isEmpty() -> emptySet()
            else -> sharingHosts + live
        }
        return TurnShare(self.hostName, sharingHosts)
    }

    /**
     * Returns the maximum burst of retries of this host for one service.
     *
     * The limit applies to all entry hosts together; a part of it is reserved for hosts that have not yet discovered
     * each other.
     */
    private fun retryBurst(entryHosts: Int): Long =
        maxOf(1, (bounds.retrySlack * RETRY_SLACK_SHARE / maxOf(1, entryHosts)).toLong())

    private companion object {
        const val RETRY_SLACK_SHARE = 0.7
        const val FULL_PERMILLE = 1_000L
        const val COLD_RATE_SHARE = 0.5

        /** Approximate one-way delay between the regions of the two known deployments. */
        const val REGION_ONE_WAY_DELAY_MS = 55L
        const val LINK_BITS_PER_SECOND = 1_000_000_000L
    }
}
