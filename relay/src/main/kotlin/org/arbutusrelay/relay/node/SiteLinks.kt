package org.arbutusrelay.relay.node

import kotlinx.coroutines.CoroutineScope
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkOptions
import org.arbutusrelay.daemon.link.SocketLinkNetwork
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.settings.SiteSettings
import java.security.SecureRandom

/** What entry hosts and state hosts of a site have in common: a name, links, and what they say of themselves. */
internal class SiteLinks(private val settings: SiteSettings, scope: CoroutineScope) {
    val identity: HostIdentity = HostIdentity(
        hostName = settings.bindAddress,
        region = settings.region,
        availabilityZone = settings.availabilityZone,
        epoch = SecureRandom().nextLong() and Long.MAX_VALUE,
    )

    val network: SocketLinkNetwork =
        SocketLinkNetwork(identity, settings.sharedSecret.toByteArray(), scope, LinkOptions(maxReconnectDelayMs = 500))

    /** Makes the exchange with other hosts; [otherStateHosts] names state hosts that the settings do not. */
    fun siteService(clock: RelayClock, otherStateHosts: () -> Set<String> = { emptySet() }): SiteService = SiteService(
        network,
        identity.initialState("${settings.bindAddress}:${settings.linkPort}", settings.dataFolder != null),
        seedNames(settings),
        settings.linkPort,
        clock,
        otherStateHosts = otherStateHosts,
    )

    /** Returns a line about this host's own process. */
    fun line(event: Event): EventLine = EventLine(
        event,
        host = identity.hostName,
        region = identity.region,
        availabilityZone = identity.availabilityZone,
    )

    suspend fun listen(): Int = network.listen(settings.bindAddress, settings.linkPort)

    companion object {
        /** Returns the host names of the seeds that [settings] list. */
        fun seedNames(settings: SiteSettings): List<String> = settings.seeds.map { it.substringBefore(':') }
    }
}
