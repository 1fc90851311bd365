package org.arbutusrelay.relay.node

import kotlinx.coroutines.CoroutineScope
import org.arbutusrelay.core.site.HostCapacity
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkOptions
import org.arbutusrelay.daemon.link.SocketLinkNetwork
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.HomeRequests
import org.arbutusrelay.schema.settings.SiteSettings
import java.security.SecureRandom

/** Identity, links and self-description common to the entry hosts and state hosts of a site. */
internal class SiteLinks(private val settings: SiteSettings, scope: CoroutineScope) {
    val identity: HostIdentity = HostIdentity(
        hostName = settings.bindAddress,
        region = settings.region,
        availabilityZone = settings.availabilityZone,
        epoch = SecureRandom().nextLong() and Long.MAX_VALUE,
    )

    val network: SocketLinkNetwork =
        SocketLinkNetwork(identity, settings.sharedSecret.toByteArray(), scope, LINK_OPTIONS)

    /**
     * Creates the service that exchanges state with other hosts; [otherStateHosts] are those not in the settings.
     *
     * [takeHomeRequests] returns the requests that an entry host reports.
     */
    fun siteService(
        clock: RelayClock,
        takeHomeRequests: () -> List<HomeRequests> = { emptyList() },
        otherStateHosts: () -> Set<String> = { emptySet() },
    ): SiteService = SiteService(
        network,
        identity.initialState("${settings.bindAddress}:${settings.linkPort}", settings.dataFolder != null)
            .copy(capacityMillis = HostCapacity.ofResources(settings.resources)),
        seedNames(settings),
        settings.linkPort,
        clock,
        otherStateHosts = otherStateHosts,
        takeHomeRequests = takeHomeRequests,
    )

    /** Returns a log line about the process of this host. */
    fun eventLine(event: Event): EventLine = EventLine(
        event,
        host = identity.hostName,
        region = identity.region,
        availabilityZone = identity.availabilityZone,
    )

    suspend fun listen(): Int = network.listen(settings.bindAddress, settings.linkPort)

    companion object {
        /** Reports cross most links once a second, so that a ping is needed only when they are late. */
        private val LINK_OPTIONS =
            LinkOptions(pingIntervalMs = 1_250, silenceTimeoutMs = 2_500, maxReconnectDelayMs = 500)

        /** Returns the host names of the seeds in [settings]. */
        fun seedNames(settings: SiteSettings): List<String> = settings.seeds.map { it.substringBefore(':') }
    }
}
