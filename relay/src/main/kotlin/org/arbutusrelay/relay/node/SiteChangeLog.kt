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
 * Writes a log line for each change in this host's view of the site: state, hosts, backend servers, links and what is
 * held back.
 *
 * Views must be passed in the order in which they were built.
 */
internal class SiteChangeLog(private val log: EventSink) : FrameReceiver {
    private var stateIndex = 0L
    private var hosts = emptyMap<String, HostState>()
    private var servers = emptyMap<String, BackendServerState>()
    private var heldBack = emptySet<String>()

    /** Starts logging the changes of [site] and of the links of [network]. */
    fun attach(site: SiteService, network: LinkNetwork) {
        network.addReceiver(this)
        site.addListener(::onView)
    }

    /** Logs the differences between [view] and the previous view. */
    fun onView(view: SiteView) {
        if (view.state.index > stateIndex) logState(view.state)
        stateIndex = maxOf(stateIndex, view.state.index)
        logHosts(view.hosts.associateBy { it.hostName })
        logServers(view.backendServers.associateBy { it.name })
        if (view.heldBack !== heldBack) logHeldBack(view.heldBack)
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

    private fun logHosts(latest: Map<String, HostState>) {
        val changed = latest.values.filter { hasChanged(hosts[it.hostName], it) }
        if (changed.size > MAX_HOST_LINES) {
            log.write(
                EventLine(
                    Event.HOST_CHANGED,
                    detail = changed.joinToString(" ") {
                        "${it.hostName}/${it.version}"
                    },
                ),
            )
        } else {
            changed.forEach { log.write(eventLine(it)) }
        }
        (hosts.keys - latest.keys).forEach { log.write(EventLine(Event.HOST_LOST, host = it)) }
        hosts = latest
    }

    private fun eventLine(host: HostState) = EventLine(
        Event.HOST_CHANGED,
        host = host.hostName,
        address = host.callerAddress.ifEmpty { host.address },
        region = host.region,
        availabilityZone = host.availabilityZone,
        version = host.version,
        isLeaving = host.isLeaving,
    )

    private fun hasChanged(old: HostState?, new: HostState): Boolean = old == null || old.epoch != new.epoch ||
        old.isLeaving != new.isLeaving || old.callerAddress != new.callerAddress

    private fun logServers(latest: Map<String, BackendServerState>) {
        val changed = latest.values.filter { hasChanged(servers[it.name], it) }
        val removed = servers.values.filter { it.name !in latest }
        changed.forEach { log.write(eventLine(Event.BACKEND_SERVER_CHANGED, it)) }
        removed.forEach { log.write(eventLine(Event.BACKEND_SERVER_LOST, it)) }
        servers = latest
    }

    private fun logHeldBack(latest: Set<String>) {
        (latest - heldBack).forEach { log.write(EventLine(Event.SUSPECT_HELD_BACK, detail = it)) }
        (heldBack - latest).forEach { log.write(EventLine(Event.SUSPECT_RELEASED, detail = it)) }
        heldBack = latest
    }

    /**
     * A limit that is named, changed or ended counts as a change. The start of a cold phase does, too; its end does
     * not, because it was announced with the start.
     */
    private fun hasChanged(old: BackendServerState?, new: BackendServerState): Boolean = old == null ||
        old.incarnation != new.incarnation || old.address != new.address || old.isLeaving != new.isLeaving ||
        new.coldMs > old.coldMs || new.limit?.limitPermille != old.limit?.limitPermille

    private fun eventLine(event: Event, server: BackendServerState) = EventLine(
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
        limitPermille = server.limit?.limitPermille,
        softwareVersion = server.softwareVersion,
    )

    private companion object {
        /** When a fleet starts, each host learns of all others at once, and a line for each would delay its start. */
        const val MAX_HOST_LINES = 4
    }
}
