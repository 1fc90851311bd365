package org.arbutusrelay.core.relay

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into complete events and tracks the position that the caller has received.
 *
 * A backend server may fail in the middle of an event. The cursor returns only complete events, so that another backend
 * server can resume after the last one. Events that were already delivered are dropped. The format is defined in the
 * HTML standard, section "Server-sent events".
 */
public class EventStreamCursor(
    /** Identifier of the last event that the caller has received, or null. */
    lastEventId: Long? = null,
) {
    private val partial = ByteArrayOutputStream()

    /** Identifier of the last complete event, or null before the first one. */
    public var lastEventId: Long? = lastEventId
        private set

    /** Number of complete events returned by the cursor. */
    public var eventCount: Int = 0
        private set

    /** True while an incomplete event is buffered. */
    public val isInsideEvent: Boolean get() = partial.size() > 0

    /** Appends the next bytes and returns the events that they complete; empty if there are none. */
    public fun push(bytes: ByteArray): ByteArray {
        partial.write(bytes)
        val buffered = partial.toByteArray()
        val output = ByteArrayOutputStream(buffered.size)
        var start = 0
        while (true) {
            val end = findEventEnd(buffered, start)
            if (end < 0) break
            emit(buffered, start, end, output)
            start = end
        }
        if (start > 0) {
            partial.reset()
            partial.write(buffered, start, buffered.size - start)
        }
        return output.toByteArray()
    }

    /** Discards the incomplete event of a backend server that failed. */
    public fun dropPartial(): Unit = partial.reset()

    private fun emit(buffered: ByteArray, start: Int, end: Int, output: ByteArrayOutputStream) {
        val id = parseEventId(buffered, start, end)
        val previousId = lastEventId
        if (id != null && previousId != null && id <= previousId) return
        if (id != null) lastEventId = id
        eventCount++
        output.write(buffered, start, end - start)
    }

    /** Returns the index after the empty line that terminates the event at [start], or -1. */
    private fun findEventEnd(buffered: ByteArray, start: Int): Int {
        var lineStart = start
        for (index in start until buffered.size) {
            if (buffered[index] != LINE_FEED) continue
            val isEmpty = index == lineStart || (index == lineStart + 1 && buffered[lineStart] == CARRIAGE_RETURN)
            if (isEmpty && index > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun parseEventId(buffered: ByteArray, start: Int, end: Int): Long? =
        String(buffered, start, end - start, Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
