package org.arbutusrelay.daemon.explain

import org.arbutusrelay.schema.log.EventLine.Event
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class RequestTimelineTest {
    private fun content(text: String): LogContent = LogFile.read(text.trimIndent().lineSequence())

    private fun line(time: String, host: String, fields: String) =
        """{"time":"2026-01-01T00:00:$time","level":"INFO","host":"$host","message":{$fields}}"""

    /** Guards against a truncated or foreign line that prevents other lines from being read. */
    @Test
    fun `lines that cannot be parsed are counted and skipped`() {
        data class Case(val text: String, val lines: Int, val unreadable: Int)
        val cases = listOf(
            Case(line("01.000Z", "a", """"event":"started""""), 1, 0),
            Case("  12.5 a " + line("01.000Z", "a", """"event":"started""""), 1, 0),
            Case("""{"time":"2026-01-01T00:00:01.000Z","message":{"event":"star""", 0, 1),
            Case(line("01.000Z", "a", """"event":"not_known_here""""), 0, 1),
            Case("""{"time":"x","message":"a plain message"}""", 0, 0),
            Case("a stack trace", 0, 0),
        )
        cases.forEach { case ->
            val read = content(case.text)
            assertEquals(case.lines to case.unreadable, read.lines.size to read.unreadable, case.text)
        }
    }

    /** Guards against a timeline whose order is wrong because the clocks of two hosts differ. */
    @Test
    fun `lines of a second host follow the line in which the request was forwarded to it`() {
        val timeline = RequestTimeline.of(
            "r",
            content(
                listOf(
                    line(
                        "01.000Z",
                        "b",
                        """"event":"request_placed","request":"r","isForwarded":true,"backendServer":"s"""",
                    ),
                    line("01.100Z", "b", """"event":"request_answered","request":"r","isForwarded":true"""),
                    line(
                        "09.000Z",
                        "a",
                        """"event":"request_placed","request":"r","isForwarded":false,"backendServer":""""",
                    ),
                    line("09.300Z", "a", """"event":"request_answered","request":"r","isForwarded":false"""),
                    line("09.300Z", "a", """"event":"request_answered","request":"other""""),
                ).joinToString("\n"),
            ).lines,
        )
        val expected = listOf(
            "a" to Event.REQUEST_PLACED,
            "b" to Event.REQUEST_PLACED,
            "b" to Event.REQUEST_ANSWERED,
            "a" to Event.REQUEST_ANSWERED,
        )
        assertEquals(expected, timeline.steps.map { it.writer to it.line.event })
    }

    /** Guards against a failure whose cause is not derived from the log lines. */
    @Test
    fun `the cause is derived from the lines`() {
        val placed = """"event":"request_placed","request":"r","backendServer":"s","incarnation":1"""
        data class Case(val cause: String, val lines: List<String>)
        val cases = listOf(
            Case(
                "after 120 ms: it waited with 9 requests on the host and ended with overloaded",
                listOf(
                    """"event":"request_queued","request":"r","waiting":9""",
                    """"event":"request_failed","request":"r","kind":"overloaded","outcome":"not_run","ageMs":120""",
                ),
            ),
            Case(
                "lost with backend server s after 80 ms (broken); it came back as incarnation 2",
                listOf(
                    placed,
                    """"event":"attempt_failed","request":"r","backendServer":"s","incarnation":1,""" +
                        """"failure":"unknown","detail":"broken","attemptAgeMs":80""",
                    """"event":"request_failed","request":"r","kind":"backend_failed","outcome":"unknown","ageMs":81""",
                    """"event":"backend_server_changed","backendServer":"s","incarnation":2""",
                ),
            ),
            Case(
                "region north did not serve it for 1000 ms (not_connected); it ended after 1200 ms",
                listOf(
                    """"event":"attempt_failed","request":"r","backendServer":"","region":"north",""" +
                        """"failure":"not_sent","detail":"not_connected","attemptAgeMs":1000""",
                    """"event":"request_answered","request":"r","ageMs":1200""",
                ),
            ),
        )
        cases.forEach { case ->
            val lines = case.lines.mapIndexed { index, fields -> line("0$index.000Z", "a", fields) }
            val cause = RequestTimeline.of("r", content(lines.joinToString("\n")).lines).cause
            assertContains(cause.orEmpty(), case.cause)
        }
    }
}
