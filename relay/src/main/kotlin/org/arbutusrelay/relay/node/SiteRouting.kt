package org.arbutusrelay.relay.node

import org.arbutusrelay.core.membership.Rendezvous
import org.arbutusrelay.core.route.RoutePlan
import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import org.arbutusrelay.schema.settings.SiteBounds

/** Makes the scheduler's routing table from what a host knows of its site. */
internal class SiteRouting(private val self: HostIdentity, private val bounds: SiteBounds) {
    fun table(view: SiteView, plan: RoutePlan): RoutingTable {
        val usable = view.backendServers.filter {
            it.service in plan.services && !it.isLeaving && it.availabilityZone !in view.state.evacuatedZones
        }
        val (here, elsewhere) = usable.partition { it.region == self.region }
        val reachable = view.entryHosts.map { it.region }.toSet()
        val regions = elsewhere.groupBy { it.region }.filterKeys { it in reachable }
        return RoutingTable(
            region = self.region,
            availabilityZone = self.availabilityZone,
            backendServers = here,
            otherRegions = regions.mapValues { (name, servers) -> remote(name, servers) },
            sentAwayPermille = ALL_PERMILLE,
            coldRatesPerSecond = coldRates(here, view, plan),
            maxRetryBurst = retryBurst(view.entryHosts.size),
            builtAtMs = view.builtAtMs,
        )
    }

    private fun remote(name: String, servers: List<BackendServerState>) = RemoteRegion(
        name = name,
        link = RegionLink(self.region, name, REGION_DELAY_MS, LINK_BITS_PER_SECOND),
        services = servers.groupBy { it.service }.mapValues { (service, states) -> summary(service, states) },
        ageMs = 0,
    )

    private fun summary(service: String, states: List<BackendServerState>) = ServiceSummary(
        service = service,
        backendServers = states.size.toLong(),
        capacity = states.sumOf { it.capacity },
        running = states.sumOf { it.running },
        queued = states.sumOf { it.queued },
        predictedMs = 0,
    )

    /**
     * Returns what this host may send to each cold backend server.
     *
     * One entry host of the region, chosen by rendezvous hashing, sends to a cold backend server, at half of what it
     * tolerates. Hosts may disagree for a moment on who is there, and the sum must stay within the bound then as well.
     */
    private fun coldRates(here: List<BackendServerState>, view: SiteView, plan: RoutePlan): Map<String, Double> {
        val cold = here.filter { it.coldMs > 0 }
        if (cold.isEmpty()) return emptyMap()
        val names = view.entryHosts.filter { it.region == self.region }.map { it.hostName }
        return cold.filter { Rendezvous.rank(it.name, names).firstOrNull() == self.hostName }
            .associate { it.name to (plan.services[it.service]?.coldRatePerSecond ?: 0.0) * COLD_RATE_SHARE }
    }

    /**
     * Returns the retries for one service that this host may give at once.
     *
     * The bound is for all entry hosts together; a part of it is left for hosts that have not heard of each other.
     */
    private fun retryBurst(entryHosts: Int): Long =
        maxOf(1, (bounds.retrySlack * RETRY_SLACK_SHARE / maxOf(1, entryHosts)).toLong())

    private companion object {
        const val RETRY_SLACK_SHARE = 0.7
        const val ALL_PERMILLE = 1_000L
        const val COLD_RATE_SHARE = 0.5

        /** One way, in milliseconds; the regions of both users are about this far apart. */
        const val REGION_DELAY_MS = 55L
        const val LINK_BITS_PER_SECOND = 1_000_000_000L
    }
}
