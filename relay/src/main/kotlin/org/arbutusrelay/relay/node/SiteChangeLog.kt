package org.arbutusrelay.relay.node

import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.observe.EventSink
import org.arbutusrelay.daemon.site.SiteService
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SiteState

/**
 * Writes a line for each change of what this host believes of its site: state, hosts, backend servers and links.
 *
 * Views must come in the order in which they were built.
 */
internal class SiteChangeLog(private val log: EventSink) : FrameReceiver {
    private var stateIndex = 0L
    private var hosts = emptyMap<String, HostState>()
    private var servers = emptyMap<String, BackendServerState>()

    /** Writes what changes in [site] and on the links of [network] from now on. */
    fun follow(site: SiteService, network: LinkNetwork) {
        network.addReceiver(this)
        site.addListener(::onView)
    }

    /** Takes the newest view. */
    fun onView(view: SiteView) {
        if (view.state.index > stateIndex) logState(view.state)
        stateIndex = maxOf(stateIndex, view.state.index)
        logHosts(view.hosts.associateBy { it.hostName })
        logServers(view.backendServers.associateBy { it.name })
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame): Unit = Unit

    override fun onLinkUp(host: HostIdentity): Unit =
        log.write(EventLine(Event.LINK_UP, host = host.hostName, region = host.region))

    override fun onLinkDown(host: HostIdentity): Unit =
        log.write(EventLine(Event.LINK_DOWN, host = host.hostName, region = host.region))

    private fun logState(state: SiteState) = log.write(
        EventLine(
            Event.STATE_CHANGED,
            stateIndex = state.index,
            documentNumber = state.document?.number,
            evacuatedZones = state.evacuatedZones.joinToString(","),
        ),
    )

    private fun logHosts(newer: Map<String, HostState>) {
        newer.values.filter { isNews(hosts[it.hostName], it) }.forEach {
            log.write(
                EventLine(
                    Event.HOST_CHANGED,
                    host = it.hostName,
                    address = it.callerAddress.ifEmpty { it.address },
                    region = it.region,
                    availabilityZone = it.availabilityZone,
                    version = it.version,
                    isLeaving = it.isLeaving,
                ),
            )
        }
        (hosts.keys - newer.keys).forEach { log.write(EventLine(Event.HOST_LOST, host = it)) }
        hosts = newer
    }

    private fun isNews(old: HostState?, new: HostState): Boolean = old == null || old.epoch != new.epoch ||
        old.isLeaving != new.isLeaving || old.callerAddress != new.callerAddress

    private fun logServers(newer: Map<String, BackendServerState>) {
        val changed = newer.values.filter { isNews(servers[it.name], it) }
        val lost = servers.values.filter { it.name !in newer }
        changed.forEach { log.write(line(Event.BACKEND_SERVER_CHANGED, it)) }
        lost.forEach { log.write(line(Event.BACKEND_SERVER_LOST, it)) }
        servers = newer
    }

    /** A cold phase is news when it begins; its end was announced with it. */
    private fun isNews(old: BackendServerState?, new: BackendServerState): Boolean = old == null ||
        old.incarnation != new.incarnation || old.address != new.address || old.isLeaving != new.isLeaving ||
        new.coldMs > old.coldMs

    private fun line(event: Event, server: BackendServerState) = EventLine(
        event,
        backendServer = server.name,
        service = server.service,
        incarnation = server.incarnation,
        version = server.version,
        address = server.address,
        region = server.region,
        availabilityZone = server.availabilityZone,
        isLeaving = server.isLeaving,
        coldMs = server.coldMs,
    )
}
