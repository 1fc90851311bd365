package org.arbutusrelay.daemon.observe

import kotlinx.serialization.json.JsonPrimitive
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.net.InetAddress
import java.net.UnknownHostException
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder

/** Formats each log event as one line of JSON with the members of `EventLayout.json`. */
internal class EventLogLayout(private val hostName: String = localHostName()) : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String = buildString {
        append("{\"time\":\"").append(timestampOf(event)).append("\",\"level\":\"").append(event.level.name())
        append("\",\"host\":").append(quoted(hostName)).append(",\"logger\":").append(quoted(event.loggerName))
        append(",\"message\":").append(messageOf(event))
        event.thrown?.let { append(",\"error\":").append(quoted(it.stackTraceToString())) }
        append("}\n")
    }

    private fun messageOf(event: LogEvent): String {
        val message = event.message
        return if (message is EventMessage) message.formattedMessage else quoted(message.formattedMessage)
    }

    private fun timestampOf(event: LogEvent): String = timeFormat.format(Instant.ofEpochMilli(event.timeMillis))

    private fun quoted(text: String?): String = JsonPrimitive(text.orEmpty()).toString()

    private companion object {
        private const val MILLISECOND_DIGITS = 3
        private val timeFormat: DateTimeFormatter =
            DateTimeFormatterBuilder().appendInstant(MILLISECOND_DIGITS).toFormatter()

        fun localHostName(): String = try {
            InetAddress.getLocalHost().hostName
        } catch (_: UnknownHostException) {
            "unknown"
        }
    }
}
