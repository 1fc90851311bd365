package org.arbutusrelay.daemon.explain

import org.arbutusrelay.schema.log.EventLine.Event
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * The log lines about one request, in causal order.
 *
 * Clocks of hosts may differ, so timestamps order only the lines of one host. The lines of a host that received the
 * forwarded request follow the line in which the first host forwarded it.
 */
public class RequestTimeline private constructor(
    /** Lines about the request. */
    public val steps: List<LoggedLine>,
    /** Changes of its backend servers, regions and zones around that time, logged by the hosts that handled it. */
    public val relatedLines: List<LoggedLine>,
) {
    /** The cause in one sentence, or null when it cannot be determined from the lines. */
    public val cause: String? get() = CauseFinder(steps, relatedLines).find()

    public companion object {
        /** Builds the timeline of [request] from [lines]; the lines of each host must be in the order it wrote them. */
        public fun of(request: String, lines: List<LoggedLine>): RequestTimeline {
            val requestLines = lines.filter { it.line.request == request }
            return RequestTimeline(order(requestLines, namesByAddress(lines)), relatedLines(requestLines, lines))
        }

        private fun namesByAddress(lines: List<LoggedLine>): Map<String, String> = lines
            .filter { it.line.event == Event.STARTED }
            .mapNotNull { started -> started.line.host?.let { it to started.writer } }
            .toMap()

        private fun order(requestLines: List<LoggedLine>, namesByAddress: Map<String, String>): List<LoggedLine> {
            val (forwarded, entryLines) = requestLines.partition { it.line.isForwarded == true }
            val linesByWriter = forwarded.groupBy { it.writer }.toMutableMap()
            val ordered = ArrayList<LoggedLine>()
            for (step in entryLines) {
                ordered += step
                if (!isForward(step)) continue
                val target = namesByAddress[step.line.address.orEmpty().substringBefore(':')]
                val writer = target?.takeIf { it in linesByWriter }
                    ?: linesByWriter.minByOrNull { it.value.first().time }?.key
                writer?.let { ordered += linesByWriter.remove(it).orEmpty() }
            }
            return ordered + linesByWriter.values.flatten()
        }

        private fun isForward(step: LoggedLine) =
            step.line.event in setOf(Event.REQUEST_PLACED, Event.REQUEST_RESENT) &&
                step.line.backendServer.isNullOrEmpty()

        private fun relatedLines(requestLines: List<LoggedLine>, lines: List<LoggedLine>): List<LoggedLine> {
            val servers = requestLines.mapNotNull { it.line.backendServer }.filter { it.isNotEmpty() }.toSet()
            val regions = requestLines.mapNotNull { it.line.region }.toSet()
            val writers = requestLines.map { it.writer }.toSet()
            val window = TimeWindow.around(requestLines)
            return lines.filter { it.writer in writers && window.contains(it) }.filter {
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

/** The time window around some lines; a line whose timestamp cannot be parsed is in every window. */
private class TimeWindow(private val from: Instant?, private val until: Instant?) {
    fun contains(line: LoggedLine): Boolean {
        val time = timeOf(line)
        return time == null || from == null || until == null || time in from..until
    }

    companion object {
        /** Backend servers announce themselves every one or two seconds and restart within a few seconds. */
        private val MARGIN_BEFORE = Duration.ofSeconds(10)
        private val MARGIN_AFTER = Duration.ofSeconds(15)

        fun around(lines: List<LoggedLine>): TimeWindow {
            val times = lines.mapNotNull(::timeOf)
            return TimeWindow(times.minOrNull()?.minus(MARGIN_BEFORE), times.maxOrNull()?.plus(MARGIN_AFTER))
        }

        private fun timeOf(line: LoggedLine): Instant? = try {
            Instant.parse(line.time)
        } catch (_: DateTimeParseException) {
            // The event is still useful without its time.
            null
        }
    }
}
