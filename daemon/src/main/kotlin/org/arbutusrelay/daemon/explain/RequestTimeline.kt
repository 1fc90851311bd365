package org.arbutusrelay.daemon.explain

import org.arbutusrelay.schema.log.EventLine.Event
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * What happened to one request, in the order of cause and effect.
 *
 * Clocks of hosts may differ, so that times order only the lines of one host: what a second host did with a request
 * follows the line by which the first one sent it there.
 */
public class RequestTimeline private constructor(
    /** Lines about the request. */
    public val steps: List<LoggedLine>,
    /** What the hosts of the request believed of its backend servers, regions and zones around that time. */
    public val relatedLines: List<LoggedLine>,
) {
    /** The cause in one sentence, or null when the lines do not tell. */
    public val cause: String? get() = CauseFinder(steps, relatedLines).find()

    public companion object {
        /** Finds the story of [request] in [lines], which hold those of each host in the order of writing. */
        public fun of(request: String, lines: List<LoggedLine>): RequestTimeline {
            val own = lines.filter { it.line.request == request }
            return RequestTimeline(order(own, namesByAddress(lines)), relatedLines(own, lines))
        }

        private fun namesByAddress(lines: List<LoggedLine>): Map<String, String> = lines
            .filter { it.line.event == Event.STARTED }
            .mapNotNull { started -> started.line.host?.let { it to started.writer } }
            .toMap()

        private fun order(own: List<LoggedLine>, namesByAddress: Map<String, String>): List<LoggedLine> {
            val (forwarded, first) = own.partition { it.line.isForwarded == true }
            val groups = forwarded.groupBy { it.writer }.toMutableMap()
            val ordered = ArrayList<LoggedLine>()
            for (step in first) {
                ordered += step
                if (!isSentAway(step)) continue
                val named = namesByAddress[step.line.address.orEmpty().substringBefore(':')]
                val writer = named?.takeIf { it in groups } ?: groups.minByOrNull { it.value.first().time }?.key
                writer?.let { ordered += groups.remove(it).orEmpty() }
            }
            return ordered + groups.values.flatten()
        }

        private fun isSentAway(step: LoggedLine) =
            step.line.event in setOf(Event.REQUEST_PLACED, Event.REQUEST_RESENT) &&
                step.line.backendServer.isNullOrEmpty()

        private fun relatedLines(own: List<LoggedLine>, lines: List<LoggedLine>): List<LoggedLine> {
            val servers = own.mapNotNull { it.line.backendServer }.filter { it.isNotEmpty() }.toSet()
            val regions = own.mapNotNull { it.line.region }.toSet()
            val writers = own.map { it.writer }.toSet()
            val span = TimeSpan.around(own)
            return lines.filter { it.writer in writers && span.contains(it) }.filter {
                when (it.line.event) {
                    Event.BACKEND_SERVER_CHANGED, Event.BACKEND_SERVER_LOST -> it.line.backendServer in servers
                    Event.LINK_DOWN, Event.HOST_LOST -> it.line.region == null || it.line.region in regions
                    Event.STATE_CHANGED -> !it.line.evacuatedZones.isNullOrEmpty()
                    else -> false
                }
            }.sortedBy { it.time }
        }
    }
}

/** The time around some lines; lines whose time cannot be read belong to each span. */
private class TimeSpan(private val from: Instant?, private val until: Instant?) {
    fun contains(line: LoggedLine): Boolean {
        val time = timeOf(line)
        return time == null || from == null || until == null || time in from..until
    }

    companion object {
        /** A backend server announces itself every second or two, and is back after some seconds. */
        private val BEFORE = Duration.ofSeconds(10)
        private val AFTER = Duration.ofSeconds(15)

        fun around(lines: List<LoggedLine>): TimeSpan {
            val times = lines.mapNotNull(::timeOf)
            return TimeSpan(times.minOrNull()?.minus(BEFORE), times.maxOrNull()?.plus(AFTER))
        }

        private fun timeOf(line: LoggedLine): Instant? = try {
            Instant.parse(line.time)
        } catch (_: DateTimeParseException) {
            // The line still tells what happened, if not when.
            null
        }
    }
}
