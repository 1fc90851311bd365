package org.arbutusrelay.daemon.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.arbutusrelay.daemon.observe.EVENT_JSON
import org.arbutusrelay.schema.log.EventLine

/** An event line of a log, with the host that wrote it. */
public data class LoggedLine(
    /** Timestamp by the host's clock, as it was written. */
    val time: String,
    /** Host that wrote the line. */
    val writer: String,
    val line: EventLine,
)

/** Lines of one or more log files, and the number of lines that could not be parsed. */
public data class LogContent(val lines: List<LoggedLine>, val unreadable: Int) {
    public operator fun plus(other: LogContent): LogContent = LogContent(
        lines + other.lines,
        unreadable + other.unreadable,
    )
}

/** Parser for log files with JSON lines. */
public object LogFile {
    /**
     * Parses [text], the lines of a file.
     *
     * Text before the first brace of a line, such as a timestamp added by a log collector, is ignored. Lines without an
     * event are skipped; lines that begin like JSON but cannot be parsed are counted.
     */
    public fun read(text: Sequence<String>): LogContent {
        val lines = ArrayList<LoggedLine>()
        var unreadable = 0
        for (rawLine in text) {
            val start = rawLine.indexOf('{')
            if (start < 0) continue
            val fields = parse(rawLine.substring(start))
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
        // Counted by the caller: a file may end in the middle of a line.
        null
    }

    private fun decode(fields: JsonObject, message: JsonObject): LoggedLine? = try {
        LoggedLine(
            fields.text("time"),
            fields.text("host"),
            EVENT_JSON.decodeFromJsonElement(EventLine.serializer(), message),
        )
    } catch (_: IllegalArgumentException) {
        // Counted by the caller: a newer version may write events that are unknown here.
        null
    }

    private fun JsonObject.text(key: String): String = (get(key) as? JsonPrimitive)?.content.orEmpty()
}
