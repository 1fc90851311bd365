package org.arbutusrelay.daemon.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.arbutusrelay.daemon.observe.EVENT_JSON
import org.arbutusrelay.schema.log.EventLine

/** A line of a host's log, with the host that wrote it. */
public data class LoggedLine(
    /** Time of day by the clock of the host, as it was written. */
    val time: String,
    /** Host that wrote the line. */
    val writer: String,
    val line: EventLine,
)

/** What was read from one or more log files. */
public data class LogContent(val lines: List<LoggedLine>, val unreadable: Int) {
    public operator fun plus(other: LogContent): LogContent = LogContent(
        lines + other.lines,
        unreadable + other.unreadable,
    )
}

/** Reads the JSON lines of a host. */
public object LogFile {
    /**
     * Reads [text], the lines of a file.
     *
     * What stands before the first brace of a line, such as a time that a collector has added, is left out. Lines that
     * hold no event are passed over; those that begin like JSON and cannot be read are counted.
     */
    public fun read(text: Sequence<String>): LogContent {
        val lines = ArrayList<LoggedLine>()
        var unreadable = 0
        for (raw in text) {
            val start = raw.indexOf('{')
            if (start < 0) continue
            val fields = parse(raw.substring(start))
            val message = fields?.get("message") as? JsonObject
            when {
                fields == null -> unreadable++
                message != null -> decode(fields, message)?.let(lines::add) ?: unreadable++
            }
        }
        return LogContent(lines, unreadable)
    }

    private fun parse(text: String): JsonObject? = try {
        EVENT_JSON.parseToJsonElement(text) as? JsonObject
    } catch (_: SerializationException) {
        // Counted by the caller: a file may be cut off within a line.
        null
    }

    private fun decode(fields: JsonObject, message: JsonObject): LoggedLine? = try {
        LoggedLine(
            fields.text("time"),
            fields.text("host"),
            EVENT_JSON.decodeFromJsonElement(EventLine.serializer(), message),
        )
    } catch (_: IllegalArgumentException) {
        // Counted by the caller: a newer version may write events that this one does not know.
        null
    }

    private fun JsonObject.text(key: String): String = (get(key) as? JsonPrimitive)?.content.orEmpty()
}
