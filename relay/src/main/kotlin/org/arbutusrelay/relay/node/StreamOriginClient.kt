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
 * from the servers that it knows, as it may be cut off or have stood still. Origins are sent only while
 * their service has servers of several software versions, as otherwise its only version is known to all; those of the
 * streams that are open when a second version appears are sent then. Confined to the event loop, except for [onFrame].
 */
internal class StreamOriginClient(
    private val network: LinkNetwork,
    private val targets: () -> List<String>,
    private val loop: HostLoop,
    private val nowMs: () -> Long,
) : StreamOrigins,
    FrameReceiver {
    private class Unsent(val attemptId: String, val origin: StreamOrigin, val recordedMs: Long)

    private class Query(var openReplies: Int, val onResult: (StreamOrigin?) -> Unit)

    private val table = StreamOriginTable()
    private val versions = SoftwareVersions(nowMs())
    private val unsent = ArrayDeque<Unsent>()
    private val queries = HashMap<Long, Query>()
    private val lookups = EnumMap<OriginLookup, Long>(OriginLookup::class.java)

    /** Starts differently in each process, so that a late reply to an earlier process matches no request. */
    private var number = network.self.epoch and MAX_FIRST_NUMBER
    private var isSendScheduled = false

    /** Number of lookups with the result [kind]; may be called on any thread. */
    @Synchronized
    fun count(kind: OriginLookup): Long = lookups[kind] ?: 0

    /** Applies a newer view of the site; may be called on any thread. */
    fun onView(view: SiteView) = loop.execute {
        versions.update(view.backendServers, nowMs())
        if (unsent.any { versions.isMixed(it.origin.service) }) scheduleSend()
    }

    override fun record(attemptId: String, origin: StreamOrigin) {
        val now = nowMs()
        if (!table.record(attemptId, origin, now)) return
        while (unsent.isNotEmpty() && now - unsent.first().recordedMs > SoftwareVersions.LIFETIME_MS) {
            unsent.removeFirst()
        }
        unsent += Unsent(attemptId, origin, now)
        if (versions.isMixed(origin.service)) scheduleSend()
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

    private fun scheduleSend() {
        if (isSendScheduled) return
        isSendScheduled = true
        loop.schedule(SEND_DELAY_MS) {
            isSendScheduled = false
            send()
        }
    }

    /** Sends the origins of services with several versions; those of others stay for the case that one appears. */
    private fun send() {
        val hosts = targets()
        // They are sent with a later view, once a state host is connected.
        if (hosts.isEmpty()) return
        val (due, rest) = unsent.partition { versions.isMixed(it.origin.service) }
        unsent.clear()
        unsent += rest
        for ((origin, streams) in due.groupBy { it.origin }) {
            for (part in streams.chunked(MAX_STREAMS_PER_FRAME)) {
                val message = StreamOriginsMessage(origin.service, origin.softwareVersion, part.map { it.attemptId })
                network.sendAll(hosts, LinkFrame(streamOrigins = message))
            }
        }
    }

    internal companion object {
        /** More than two round trips between regions, 220 ms, and the time that busy hosts take to reply. */
        const val REPLY_MS = 500L

        /** Streams that begin within this time before all entry hosts are lost cannot be taken up. */
        const val SEND_DELAY_MS = 25L
        const val MAX_STREAMS_PER_FRAME = 1_000
        const val MAX_FIRST_NUMBER = (1L shl 52) - 1
    }
}
