package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.stream.SoftwareVersions
import org.arbutusrelay.core.stream.StreamOrigin
import org.arbutusrelay.core.stream.StreamOriginTable
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.StreamOriginReply
import org.arbutusrelay.schema.message.StreamOriginRequest
import org.arbutusrelay.schema.message.StreamOrigins

/**
 * Keeps at a state host where recent streams began, for entry hosts at which callers take them up.
 *
 * It is kept in memory only: a state host that has lost it says so, and the entry host asks others as well.
 * Thread-safe.
 */
public class StreamOriginService(
    private val network: LinkNetwork,
    private val nowMs: () -> Long,
    /** Returns the time of day, in milliseconds since the Unix epoch. */
    private val nowWallMs: () -> Long,
) : FrameReceiver {
    private val table = StreamOriginTable()
    private val versions = SoftwareVersions(nowMs())

    /** Number of streams whose origin is known. */
    @get:Synchronized
    public val streams: Int get() = table.size

    /** Applies a newer view of the site. */
    @Synchronized
    public fun onView(view: SiteView): Unit = versions.update(view.backendServers, nowMs())

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.streamOrigins?.let(::record)
        frame.streamOriginRequest?.let { network.send(from.hostName, LinkFrame(streamOriginReply = reply(it))) }
    }

    @Synchronized
    private fun record(message: StreamOrigins) {
        val origin = StreamOrigin(message.service, message.softwareVersion)
        message.attemptIds.forEach { table.record(it, origin, nowMs()) }
    }

    @Synchronized
    private fun reply(request: StreamOriginRequest): StreamOriginReply {
        val single = versions.only(request.service, nowMs(), nowWallMs())?.ifEmpty { null }
        val origin = table.find(request.attemptId, nowMs()) ?: single?.let { StreamOrigin(request.service, it) }
        return StreamOriginReply(request.number, origin?.softwareVersion.orEmpty(), origin?.service.orEmpty())
    }
}
