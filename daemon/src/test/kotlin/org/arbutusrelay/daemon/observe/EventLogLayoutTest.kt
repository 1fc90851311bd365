package org.arbutusrelay.daemon.observe

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.core.time.MutableInstant
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.SimpleMessage
import org.arbutusrelay.daemon.explain.LogFile
import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLogLayoutTest {
    private fun layout(message: Message, timeMs: Long): String {
        val instant = MutableInstant().apply { initFromEpochMilli(timeMs, 0) }
        val event = Log4jLogEvent.newBuilder().setLoggerName("log").setLevel(Level.INFO).setMessage(message)
            .setInstant(instant).build()
        return EventLogLayout("host-a").toSerializable(event)
    }

    private fun expected(time: String, message: String) =
        """{"time":"$time","level":"INFO","host":"host-a","logger":"log","message":$message}""" + "\n"

    /** Guards against lines that a log collector cannot parse, or whose times do not sort as text. */
    @Test
    fun `an event becomes one line of JSON`() {
        val line = EventLine(Event.REQUEST_FAILED, request = "r1", kind = "overloaded")
        listOf(
            Triple<Message, Long, String>(
                SimpleMessage("plain"),
                1_000L,
                expected("1970-01-01T00:00:01.000Z", "\"plain\""),
            ),
            Triple(
                SimpleMessage("two\nlines \"quoted\""),
                1_500L,
                expected("1970-01-01T00:00:01.500Z", "\"two\\nlines \\\"quoted\\\"\""),
            ),
            Triple(
                EventMessage(line),
                12L,
                expected(
                    "1970-01-01T00:00:00.012Z",
                    """{"event":"request_failed","request":"r1","kind":"overloaded"}""",
                ),
            ),
        ).forEach { (message, timeMs, text) -> assertEquals(text, layout(message, timeMs)) }
    }

    /** Guards against a layout that the log reader of `arbutusctl explain` does not understand. */
    @Test
    fun `the log reader parses the line of an event`() {
        val line = EventLine(Event.REQUEST_FAILED, request = "r1", kind = "overloaded")
        val content = LogFile.read(sequenceOf(layout(EventMessage(line), 12)))
        assertEquals(listOf(line), content.lines.map { it.line })
        assertEquals("host-a", content.lines.single().writer)
    }
}
