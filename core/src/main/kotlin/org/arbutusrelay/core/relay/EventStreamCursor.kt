package org.arbutusrelay.core.relay

import java.io.ByteArrayOutputStream

/**
 * Cuts a stream of server-sent events into whole events and knows how far the caller has received it.
 *
 * A backend server may stop in the middle of an event. Only whole events leave the cursor, so that another backend
 * server can go on behind the last one. Events that were delivered before are dropped. Source: the HTML standard,
 * section "Server-sent events".
 */
public class EventStreamCursor(
    /** Identifier of the last event that the caller has, or null. */
    lastEventId: Long? = null,
) {
    private val partial = ByteArrayOutputStream()

    /** Identifier of the last whole event, or null before the first one. */
    public var lastEventId: Long? = lastEventId
        private set

    /** Whole events that left the cursor. */
    public var eventCount: Int = 0
        private set

    /** True while the bytes of an unfinished event are held back. */
    public val isInsideEvent: Boolean get() = partial.size() > 0

    /** Takes the next bytes and returns the whole events among them; empty when none was completed. */
    public fun push(bytes: ByteArray): ByteArray {
        partial.write(bytes)
        val held = partial.toByteArray()
        val output = ByteArrayOutputStream(held.size)
        var start = 0
        while (true) {
            val end = endOfEvent(held, start)
            if (end < 0) break
            emit(held, start, end, output)
            start = end
        }
        if (start > 0) {
            partial.reset()
            partial.write(held, start, held.size - start)
        }
        return output.toByteArray()
    }

    /** Forgets the unfinished event of a backend server that broke off. */
    public fun dropPartial(): Unit = partial.reset()

    private fun emit(held: ByteArray, start: Int, end: Int, output: ByteArrayOutputStream) {
        val id = idOf(held, start, end)
        val last = lastEventId
        if (id != null && last != null && id <= last) return
        if (id != null) lastEventId = id
        eventCount++
        output.write(held, start, end - start)
    }

    /** Returns the position behind the empty line that ends the event at [start], or -1. */
    private fun endOfEvent(held: ByteArray, start: Int): Int {
        var lineStart = start
        for (index in start until held.size) {
            if (held[index] != LINE_FEED) continue
            val isEmpty = index == lineStart || (index == lineStart + 1 && held[lineStart] == CARRIAGE_RETURN)
            if (isEmpty && index > start) return index + 1
            lineStart = index + 1
        }
        return -1
    }

    private fun idOf(held: ByteArray, start: Int, end: Int): Long? =
        String(held, start, end - start, Charsets.ISO_8859_1).lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
