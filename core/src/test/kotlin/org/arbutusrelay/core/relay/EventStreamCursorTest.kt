package org.arbutusrelay.core.relay

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventStreamCursorTest {
    private fun event(id: Int) = "id: $id\ndata: part $id\n\n"

    private fun EventStreamCursor.pushText(text: String) = push(text.encodeToByteArray()).decodeToString()

    /** Guards against an event that reaches the caller in part and is then sent again in whole. */
    @Test
    fun `only whole events pass, however the bytes are cut`() {
        val text = (1..20).joinToString("") { event(it) }
        for (seed in 1..20) {
            val random = Random(seed)
            val cursor = EventStreamCursor()
            var rest = text
            val output = StringBuilder()
            while (rest.isNotEmpty()) {
                val size = random.nextInt(1, minOf(rest.length, 30) + 1)
                output.append(cursor.pushText(rest.take(size)))
                assertTrue(output.isEmpty() || output.endsWith("\n\n"), "seed $seed")
                rest = rest.drop(size)
            }
            assertEquals(text, output.toString(), "seed $seed")
            assertFalse(cursor.isInsideEvent)
        }
    }

    /** Guards against a piece that is missing or comes twice after another backend server went on. */
    @Test
    fun `another run goes on behind the last whole event`() {
        data class Case(val first: String, val second: String, val expected: String)
        val cases = listOf(
            Case(event(1) + "id: 2\nda", event(2) + event(3), event(1) + event(2) + event(3)),
            Case(event(1) + event(2), event(1) + event(2) + event(3), event(1) + event(2) + event(3)),
            Case("id: 1\n", event(1), event(1)),
        )
        for (case in cases) {
            val cursor = EventStreamCursor()
            val before = cursor.pushText(case.first)
            cursor.dropPartial()
            assertEquals(case.expected, before + cursor.pushText(case.second), "$case")
        }
    }

    /** Guards against a caller's own resumption that begins again. */
    @Test
    fun `events that the caller has are not sent again`() {
        val cursor = EventStreamCursor(lastEventId = 2)
        assertEquals(event(3), cursor.pushText(event(1) + event(2) + event(3)))
        assertEquals(3, cursor.lastEventId)
    }

    /** Guards against carriage returns that hide the end of an event. */
    @Test
    fun `lines may end with a carriage return and a line feed`() {
        val text = "id: 7\r\ndata: x\r\n\r\n"
        val cursor = EventStreamCursor()
        assertEquals(text, cursor.pushText(text))
        assertEquals(7, cursor.lastEventId)
    }
}
