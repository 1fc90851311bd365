package org.arbutusrelay.core.relay

import java.io.ByteArrayOutputStream

/** Position up to which the caller of a stream has received its events, whichever attempts they came from. */
public class StreamPosition(
    /** Identifier of the last event that the caller has received before the first attempt, or null. */
    lastEventId: Long? = null,
) {
    /** Identifier of the last event that the caller has received, or null before the first one. */
    public var lastEventId: Long? = lastEventId
        internal set
}

/**
 * Splits the body of one response into complete server-sent events and drops those before [position].
 *
 * A backend server may fail in the middle of an event. The cursor returns only complete events, so that another backend
 * server can resume after the last one. The incomplete event is part of the cursor, and a cursor belongs to one
 * attempt, so that the parts of two responses can't be joined. The format is defined in the HTML standard, section
 * "Server-sent events".
 *
 * In a stream whose events have identifiers, the cursor ends at an event without a numeric one, such as the head of
 * another response. Comments are passed on. A gap between two identifiers is accepted: they only have to increase,
 * because one event may stand for several tokens, so a missing event can't be told from a large one.
 */
public class EventStreamCursor(private val position: StreamPosition = StreamPosition()) {
    /** What the last line of an event has so far; [START] is that of an event without any byte. */
    private enum class Line { START, EMPTY, CARRIAGE_RETURN, FILLED }

    private val partial = ByteArrayOutputStream()
    private var line = Line.START

    /** Number of bytes that were looked at or copied so far. */
    internal var steps: Long = 0
        private set

    /** Number of complete events returned by the cursor. */
    public var eventCount: Int = 0
        private set

    /** True after an event without an identifier in a stream with identifiers; it and what follows it are dropped. */
    public var isEventRefused: Boolean = false
        private set

    /** Length of the incomplete event that is buffered, in bytes; 0 if there is none. */
    public val incompleteBytes: Int get() = partial.size()

    /** True while an incomplete event is buffered. */
    public val isInsideEvent: Boolean get() = incompleteBytes > 0

    /** True if the incomplete event exceeds [MAX_EVENT_BYTES], so that the stream must be given up. */
    public val isEventTooLong: Boolean get() = partial.size() > MAX_EVENT_BYTES

    /** Appends the next bytes and returns the events that they complete; empty if there are none. */
    public fun push(bytes: ByteArray): ByteArray {
        steps += bytes.size
        val firstEnd = if (isEventRefused) -1 else findEventEnd(bytes, 0)
        if (firstEnd < 0) {
            partial.write(bytes)
            return EMPTY
        }
        val firstEvent = takeFirstEvent(bytes, firstEnd)
        if (firstEnd == bytes.size) return if (isPassedOn(firstEvent)) firstEvent else EMPTY
        val output = ByteArrayOutputStream(firstEvent.size + bytes.size - firstEnd)
        if (isPassedOn(firstEvent)) output.write(firstEvent)
        var start = firstEnd
        while (!isEventRefused) {
            val end = findEventEnd(bytes, start)
            if (end < 0) break
            if (isPassedOn(bytes, start, end)) output.write(bytes, start, end - start)
            start = end
        }
        partial.write(bytes, start, bytes.size - start)
        return output.toByteArray()
    }

    /** Returns the incomplete event with its last bytes; [bytes] itself if they are the whole event. */
    private fun takeFirstEvent(bytes: ByteArray, end: Int): ByteArray {
        if (partial.size() == 0 && end == bytes.size) return bytes
        steps += partial.size()
        partial.write(bytes, 0, end)
        return partial.toByteArray().also { partial.reset() }
    }

    private fun isPassedOn(event: ByteArray) = isPassedOn(event, 0, event.size)

    private fun isPassedOn(buffered: ByteArray, start: Int, end: Int): Boolean {
        val id = parseEventId(buffered, start, end)
        val previousId = position.lastEventId
        if (id != null && previousId != null && id <= previousId) return false
        if (id == null && previousId != null && !isComment(buffered, start, end)) {
            isEventRefused = true
            return false
        }
        if (id != null) position.lastEventId = id
        eventCount++
        return true
    }

    /**
     * Returns the index after the empty line that ends the event, which goes on at [start], or -1.
     *
     * An event may begin with one empty line, so that an event without lines is no event.
     */
    private fun findEventEnd(bytes: ByteArray, start: Int): Int {
        for (index in start until bytes.size) {
            val byte = bytes[index]
            val isEnd = byte == LINE_FEED && line != Line.START && line != Line.FILLED
            line = when {
                isEnd -> Line.START
                byte == LINE_FEED -> Line.EMPTY
                byte == CARRIAGE_RETURN && line != Line.FILLED && line != Line.CARRIAGE_RETURN -> Line.CARRIAGE_RETURN
                else -> Line.FILLED
            }
            if (isEnd) return index + 1
        }
        return -1
    }

    private fun parseEventId(buffered: ByteArray, start: Int, end: Int): Long? {
        var lineStart = start
        for (index in start until end) {
            if (buffered[index] != LINE_FEED && buffered[index] != CARRIAGE_RETURN) continue
            if (isIdLine(buffered, lineStart, index)) {
                val from = lineStart + ID_FIELD.length
                return String(buffered, from, index - from, Charsets.ISO_8859_1).trim().toLongOrNull()
            }
            lineStart = index + 1
        }
        return null
    }

    private fun isIdLine(buffered: ByteArray, start: Int, end: Int): Boolean =
        end - start >= ID_FIELD.length && ID_FIELD.indices.all { buffered[start + it] == ID_FIELD[it].code.toByte() }

    private fun isComment(buffered: ByteArray, start: Int, end: Int): Boolean =
        String(buffered, start, end - start, Charsets.ISO_8859_1).lineSequence()
            .all { it.isEmpty() || it.startsWith(COMMENT_MARK) }

    public companion object {
        private val EMPTY = ByteArray(0)

        /** Longest event, in bytes; a backend server that sends more without an end of the event is faulty. */
        public const val MAX_EVENT_BYTES: Int = 256 * 1024

        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"
        private const val COMMENT_MARK = ':'
    }
}
