package org.arbutusrelay.relay.node

import org.arbutusrelay.core.stream.SoftwareVersions
import org.arbutusrelay.core.stream.StreamOrigin
import org.arbutusrelay.core.stream.StreamOriginTable
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.site.SiteView
import org.arbutusrelay.relay.exchange.StreamOrigins
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.StreamOriginReply
import org.arbutusrelay.schema.message.StreamOriginRequest
import java.util.EnumMap
import org.arbutusrelay.schema.message.StreamOrigins as StreamOriginsMessage

/** How the origin of a stream was found. */
internal enum class OriginLookup(val id: String) {
    /** This host passed on its first event. */
    OWN("own"),

    /** The servers of its service state no software version. */
    UNVERSIONED("unversioned"),

    /** A state host was told of it. */
    ASKED("asked"),

    /** All state hosts have heard of a single software version of its service for as long as streams last. */
    SINGLE_VERSION("single_version"),
    UNKNOWN("unknown"),
}

/**
 * Records at the state hosts where the streams of this host began, and asks them about streams of other hosts.
 *
 * A caller may take up a stream at any host, also after the one that began it has ended. This host concludes nothing
 * from the servers that it knows, as it may be cut off or have stood still. It sends each origin soon after the first
 * event of its stream, as it may be lost, or cut off, by the time that another software version appears; a state host
 * that has started or was out of reach is told all recent ones. Confined to the event loop, except for [onFrame] and
 * [onLinkUp].
 */
internal class StreamOriginClient(
    private val network: LinkNetwork,
    private val targets: () -> List<String>,
    private val loop: HostLoop,
    private val nowMs: () -> Long,
) : StreamOrigins,
    FrameReceiver {
    private class Query(var openReplies: Int, val onResult: (StreamOrigin?) -> Unit)

    private val table = StreamOriginTable()
    private val versions = SoftwareVersions(nowMs())
    private val unsent = LinkedHashMap<String, StreamOrigin>()

    /** State hosts that were told all recent origins but for [unsent]. */
    private val informed = HashSet<String>()
    private val queries = HashMap<Long, Query>()
    private val lookups = EnumMap<OriginLookup, Long>(OriginLookup::class.java)

    /** Starts differently in each process, so that a late reply to an earlier process matches no request. */
    private var number = network.self.epoch and MAX_FIRST_NUMBER
    private var sendDueMs = Long.MAX_VALUE

    /** Number of lookups with the result [kind]; may be called on any thread. */
    @Synchronized
    fun count(kind: OriginLookup): Long = lookups[kind] ?: 0

    /** Applies a newer view of the site; may be called on any thread. */
    fun onView(view: SiteView) = loop.execute {
        versions.update(view.backendServers, nowMs())
        if (informed.isEmpty()) scheduleSend(SEND_DELAY_MS)
    }

    override fun record(attemptId: String, origin: StreamOrigin) {
        if (!table.record(attemptId, origin, nowMs())) return
        unsent[attemptId] = origin
        scheduleSend(if (versions.isMixed(origin.service)) SEND_DELAY_MS else SINGLE_VERSION_SEND_DELAY_MS)
    }

    override fun find(attemptId: String?, service: String, onResult: (StreamOrigin?) -> Unit) {
        val own = attemptId?.let { table.find(it, nowMs()) }
        when {
            own != null -> finish(OriginLookup.OWN, own, onResult)

            versions.isUnversioned(service) ->
                finish(OriginLookup.UNVERSIONED, StreamOrigin(service, ""), onResult)

            else -> ask(attemptId.orEmpty(), service, onResult)
        }
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val reply = frame.streamOriginReply ?: return
        loop.execute { onReply(reply) }
    }

    /** What was sent to [host] before may not have arrived, or be lost with its process. */
    override fun onLinkUp(host: HostIdentity) = loop.execute {
        informed -= host.hostName
        scheduleSend(SEND_DELAY_MS)
    }

    private fun ask(attemptId: String, service: String, onResult: (StreamOrigin?) -> Unit) {
        val request = StreamOriginRequest(++number, service, attemptId)
        val hosts = targets().filter { it in network.connected() }
        if (hosts.isEmpty()) return finish(OriginLookup.UNKNOWN, null, onResult)
        queries[request.number] = Query(hosts.size, onResult)
        network.sendAll(hosts, LinkFrame(streamOriginRequest = request))
        loop.schedule(REPLY_MS) {
            if (queries.remove(request.number) != null) finish(OriginLookup.UNKNOWN, null, onResult)
        }
    }

    private fun onReply(reply: StreamOriginReply) {
        val query = queries[reply.number] ?: return
        query.openReplies--
        val isKnown = reply.softwareVersion.isNotEmpty()
        if (!isKnown && query.openReplies > 0) return
        queries.remove(reply.number)
        val kind = when {
            !isKnown -> OriginLookup.UNKNOWN
            reply.singleVersion.isEmpty() -> OriginLookup.ASKED
            else -> OriginLookup.SINGLE_VERSION
        }
        finish(kind, if (isKnown) StreamOrigin(reply.service, reply.softwareVersion) else null, query.onResult)
    }

    private fun finish(kind: OriginLookup, origin: StreamOrigin?, onResult: (StreamOrigin?) -> Unit) {
        synchronized(this) { lookups.merge(kind, 1L, Long::plus) }
        onResult(origin)
    }

    private fun scheduleSend(delayMs: Long) {
        val dueMs = nowMs() + delayMs
        if (dueMs >= sendDueMs) return
        sendDueMs = dueMs
        loop.schedule(delayMs) { if (dueMs == sendDueMs) send() }
    }

    private fun send() {
        sendDueMs = Long.MAX_VALUE
        val hosts = targets()
        informed.retainAll(hosts.toSet())
        val (old, new) = hosts.partition { it in informed }
        send(unsent, old)
        if (new.isNotEmpty()) send(table.recordedSince(nowMs() - SoftwareVersions.LIFETIME_MS), new)
        unsent.clear()
    }

    private fun send(streams: Map<String, StreamOrigin>, hosts: List<String>) {
        val frames = streams.entries.groupBy({ it.value }, { it.key }).flatMap { (origin, attemptIds) ->
            attemptIds.chunked(MAX_STREAMS_PER_FRAME).map {
                LinkFrame(streamOrigins = StreamOriginsMessage(origin.service, origin.softwareVersion, it))
            }
        }
        for (host in hosts) {
            if (frames.all { network.send(host, it) }) informed += host else informed -= host
        }
    }

    internal companion object {
        /** More than two round trips between regions, 220 ms, and the time that busy hosts take to reply. */
        const val REPLY_MS = 500L

        /** Streams that begin within this time before their host is lost can't be taken up among several versions. */
        const val SEND_DELAY_MS = 25L

        /** Longer while there is one version, where a lost origin matters only if another appears before the end. */
        const val SINGLE_VERSION_SEND_DELAY_MS = 250L
        const val MAX_STREAMS_PER_FRAME = 1_000
        const val MAX_FIRST_NUMBER = (1L shl 52) - 1
    }
}
