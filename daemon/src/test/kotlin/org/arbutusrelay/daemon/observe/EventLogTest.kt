package org.arbutusrelay.daemon.observe

import org.arbutusrelay.schema.log.EventLine
import org.arbutusrelay.schema.log.EventLine.Event
import kotlin.test.Test
import kotlin.test.assertEquals

class EventLogTest {
    private class Counts : EventCounters {
        val events = HashMap<Event, Int>()
        val drops = HashMap<LineDrop, Int>()

        override fun count(event: Event) {
            events.merge(event, 1, Int::plus)
        }

        override fun countLineDrop(reason: LineDrop) {
            drops.merge(reason, 1, Int::plus)
        }
    }

    private class Buffer(override val remaining: Int) : LogBuffer {
        override val capacity: Int = 100
    }

    private val counts = Counts()

    /** Guards against a flood of lines, and against dropped lines that are not counted. */
    @Test
    fun `each kind of line has its own rate limit`() {
        data class Case(val line: EventLine, val repeats: Int, val dropped: Int)
        val cases = listOf(
            Case(EventLine(Event.REQUEST_ANSWERED), 20, 15),
            Case(EventLine(Event.REQUEST_FAILED, kind = "overloaded"), 20, 10),
            Case(EventLine(Event.REQUEST_FAILED, kind = "not_ready"), 10, 0),
            Case(EventLine(Event.REQUEST_PLACED, coldMs = 0), 20, 15),
            Case(EventLine(Event.REQUEST_PLACED, coldMs = 900), 10, 0),
            Case(EventLine(Event.HOST_LOST), 60, 0),
        )
        var nowMs = 0L
        val log = EventLog({ nowMs }, Buffer(100), counts)
        cases.forEach { case ->
            counts.drops.clear()
            repeat(case.repeats) { log.write(case.line) }
            assertEquals(case.dropped, counts.drops[LineDrop.LIMIT] ?: 0, "${case.line}")
        }
        assertEquals(cases.sumOf { it.repeats }, counts.events.values.sum())
        nowMs = 1_000
        counts.drops.clear()
        log.write(EventLine(Event.REQUEST_ANSWERED))
        assertEquals(emptyMap(), counts.drops.toMap())
    }

    /** Guards against failures that are dropped because successes have filled the buffer. */
    @Test
    fun `successes leave room in the buffer for failures and changes of system state`() {
        data class Case(val event: Event, val remaining: Int, val isWritten: Boolean)
        val cases = listOf(
            Case(Event.REQUEST_ANSWERED, 60, true),
            Case(Event.REQUEST_ANSWERED, 50, false),
            Case(Event.REQUEST_FAILED, 50, true),
            Case(Event.REQUEST_FAILED, 10, false),
            Case(Event.HOST_LOST, 1, true),
            Case(Event.HOST_LOST, 0, false),
        )
        cases.forEach { case ->
            counts.drops.clear()
            EventLog({ 0 }, Buffer(case.remaining), counts).write(EventLine(case.event))
            val drops = if (case.isWritten) emptyMap() else mapOf(LineDrop.BUFFER to 1)
            assertEquals(drops, counts.drops.toMap(), "$case")
        }
    }

    /** Guards against a line that log readers cannot parse. */
    @Test
    fun `a line is a JSON object without unset fields`() {
        val line = EventLine(Event.REQUEST_FAILED, leftOut = 3, request = "r", kind = "overloaded")
        val expected = """{"event":"request_failed","leftOut":3,"request":"r","kind":"overloaded"}"""
        assertEquals(expected, EventMessage(line).formattedMessage)
    }
}
