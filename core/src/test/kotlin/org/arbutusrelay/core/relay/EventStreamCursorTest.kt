package org.arbutusrelay.core.relay

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventStreamCursorTest {
    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun EventStreamCursor.pushText(text: String) = push(text.encodeToByteArray()).decodeToString()

    /** Guards against an event that is sent to the caller partially and then again in full. */
    @Test
    fun `only complete events are returned for any chunk boundaries`() {
        val text = (1..20).joinToString("") { event(it) }
        for (seed in 1..20) {
            val random = Random(seed)
            val cursor = EventStreamCursor()
            var remaining = text
            val output = StringBuilder()
            while (remaining.isNotEmpty()) {
                val size = random.nextInt(1, minOf(remaining.length, 30) + 1)
                output.append(cursor.pushText(remaining.take(size)))
                assertTrue(output.isEmpty() || output.endsWith("\n\n"), "seed $seed")
                remaining = remaining.drop(size)
            }
            assertEquals(text, output.toString(), "seed $seed")
            assertFalse(cursor.isInsideEvent)
        }
    }

    /** Guards against lost or duplicate events after another backend server resumes the stream. */
    @Test
    fun `another backend server resumes after the last complete event`() {
        data class Case(val first: String, val second: String, val expected: String)
        val cases = listOf(
            Case(event(1) + "id: 2\nda", event(2) + event(3), event(1) + event(2) + event(3)),
            Case(event(1) + event(2), event(1) + event(2) + event(3), event(1) + event(2) + event(3)),
            Case("id: 1\n", event(1), event(1)),
        )
        for (case in cases) {
            val position = StreamPosition()
            val before = EventStreamCursor(position).pushText(case.first)
            assertEquals(case.expected, before + EventStreamCursor(position).pushText(case.second), "$case")
        }
    }

    /** Guards against a stream that restarts from the beginning when the caller resumes it. */
    @Test
    fun `events that the caller has received are not sent again`() {
        val position = StreamPosition(lastEventId = 2)
        assertEquals(event(3), EventStreamCursor(position).pushText(event(1) + event(2) + event(3)))
        assertEquals(3, position.lastEventId)
    }

    /** Guards against CRLF line endings that prevent the end of an event from being detected. */
    @Test
    fun `lines may end with CRLF`() {
        val text = "id: 7\r\ndata: x\r\n\r\n"
        val position = StreamPosition()
        assertEquals(text, EventStreamCursor(position).pushText(text))
        assertEquals(7, position.lastEventId)
    }

    /** Guards against bytes of another response that reach the caller as an event without an identifier. */
    @Test
    fun `in a stream with identifiers only comments may have none`() {
        data class Case(val text: String, val expected: String, val isRefused: Boolean)
        val head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        val cases = listOf(
            Case(event(1) + ": comment\n\n" + event(2), event(1) + ": comment\n\n" + event(2), false),
            Case(event(1) + "\n" + event(2), event(1) + "\n" + event(2), false),
            Case(event(1) + "version: 4\nid: 2\ndata: b\n\n", event(1) + "version: 4\nid: 2\ndata: b\n\n", false),
            Case(event(1) + event(9), event(1) + event(9), false),
            Case("data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n", false),
            Case(event(1) + "data: a\n\n" + event(2), event(1), true),
            Case(event(1) + "id: 1x\ndata: a\n\n" + event(2), event(1), true),
            Case(event(1) + "id: 2id: 2\ndata: a\n\n" + event(3), event(1), true),
            Case(event(1) + head + event(1) + event(2), event(1), true),
        )
        for (case in cases) {
            for (size in listOf(1, 7, case.text.length)) {
                val cursor = EventStreamCursor()
                val output = case.text.chunked(size).joinToString("") { cursor.pushText(it) }
                assertEquals(case.expected, output, "$case by $size")
                assertEquals(case.isRefused, cursor.isEventRefused, "$case by $size")
            }
        }
    }
}
