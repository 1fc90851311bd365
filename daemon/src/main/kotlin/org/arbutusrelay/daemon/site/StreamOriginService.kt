package org.arbutusrelay.daemon.site

import org.arbutusrelay.core.stream.OriginKnowledge
import org.arbutusrelay.core.stream.OriginSurvey
import org.arbutusrelay.core.stream.OriginVerdict
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
 * A stream that it was not told of may be known to one of [otherStateHosts], which are asked; see [OriginSurvey]. If
 * one of them stays silent, so does this host, and the entry host gives up by itself. Records are kept in memory only.
 * Thread-safe.
 */
public class StreamOriginService(
    private val network: LinkNetwork,
    private val nowMs: () -> Long,
    /** Returns the time of day, in milliseconds since the Unix epoch. */
    private val nowWallMs: () -> Long,
    /** Returns all hosts to which backend servers may have announced themselves. */
    private val otherStateHosts: () -> Set<String>,
) : FrameReceiver {
    private class Query(
        val hostName: String,
        val request: StreamOriginRequest,
        val survey: OriginSurvey,
        val askedMs: Long,
    )

    private val table = StreamOriginTable()
    private val versions = SoftwareVersions(nowMs())
    private val queries = LinkedHashMap<Long, Query>()

    /** Starts differently in each process, so that a late reply to an earlier process matches no request. */
    private var number = network.self.epoch and MAX_FIRST_NUMBER

    /** Number of streams whose origin is known. */
    @get:Synchronized
    public val streams: Int get() = table.size

    /** Applies a newer view of the site. */
    @Synchronized
    public fun onView(view: SiteView): Unit = versions.update(view.backendServers, nowMs())

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        frame.streamOrigins?.let(::record)
        frame.streamOriginRequest?.let { onRequest(from.hostName, it) }
        frame.streamOriginReply?.let { onReply(from.hostName, it) }
    }

    @Synchronized
    private fun record(message: StreamOrigins) {
        val origin = StreamOrigin(message.service, message.softwareVersion)
        message.attemptIds.forEach { table.record(it, origin, nowMs()) }
    }

    @Synchronized
    private fun onRequest(hostName: String, request: StreamOriginRequest) {
        val known = OriginKnowledge(
            table.find(request.attemptId, nowMs()),
            versions.only(request.service, nowMs(), nowWallMs())?.ifEmpty { null },
        )
        if (!request.isDirect) return ask(Query(hostName, request, OriginSurvey(known, peers()), nowMs()))
        val version = known.record?.softwareVersion.orEmpty()
        val service = known.record?.service.orEmpty()
        send(hostName, StreamOriginReply(request.number, version, service, known.singleVersion.orEmpty()))
    }

    private fun ask(query: Query) {
        queries.values.removeIf { nowMs() - it.askedMs > MAX_QUERY_MS }
        val ownNumber = ++number
        queries[ownNumber] = query
        if (query.survey.verdict == null) {
            val direct = LinkFrame(streamOriginRequest = query.request.copy(number = ownNumber, isDirect = true))
            val connected = network.connected().keys
            peers().filterNot { it in connected && network.send(it, direct) }.forEach(query.survey::addUnreachable)
        }
        finishIfDecided(ownNumber)
    }

    @Synchronized
    private fun onReply(hostName: String, reply: StreamOriginReply) {
        val query = queries[reply.number] ?: return
        val record = reply.softwareVersion.ifEmpty { null }?.let { StreamOrigin(reply.service, it) }
        query.survey.add(hostName, OriginKnowledge(record, reply.singleVersion.ifEmpty { null }))
        finishIfDecided(reply.number)
    }

    private fun finishIfDecided(ownNumber: Long) {
        val query = queries[ownNumber] ?: return
        val verdict = query.survey.verdict ?: return
        queries.remove(ownNumber)
        val request = query.request
        val reply = when (verdict) {
            is OriginVerdict.Recorded ->
                StreamOriginReply(request.number, verdict.origin.softwareVersion, verdict.origin.service)

            is OriginVerdict.Concluded ->
                StreamOriginReply(request.number, verdict.softwareVersion, request.service, verdict.softwareVersion)

            is OriginVerdict.Unknown -> StreamOriginReply(request.number)
        }
        send(query.hostName, reply)
    }

    private fun peers() = otherStateHosts() - network.self.hostName

    private fun send(hostName: String, reply: StreamOriginReply) {
        network.send(hostName, LinkFrame(streamOriginReply = reply))
    }

    private companion object {
        /** Longer than any entry host waits for a reply. */
        const val MAX_QUERY_MS = 2_000L
        const val MAX_FIRST_NUMBER = (1L shl 52) - 1
    }
}
