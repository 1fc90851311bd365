package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertTrue

class ScanCostTest {
    private val bodies = mapOf(
        "log lines that quote a status line" to "INFO:access:HTTP/1.1 200 OK\r\n",
        "short log lines" to "a:HTTP/1.1 200 \r\n",
        "shortest log lines" to "a:HTTP/1.1 200\n",
        "status lines" to "HTTP/1.1 200 OK\r\n",
        "heads that name no request" to "HTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK\r\n\r\n",
        "a head that is folded" to "HTTP/1.1 200 OK\r\nX: y\r\n" + " HTTP/1.1 200 OK\r\n".repeat(500),
        "a status line in each field of a head" to "HTTP/1.1 200 OK\r\n" + "X: HTTP/1.1 200 OK\r\n".repeat(1_000),
        "short fields" to "HTTP/1.1 200 OK\r\n" + "a:\n".repeat(10_000),
        "a field without an end" to "HTTP/1.1 200 OK\r\nX: " + "y".repeat(30_000) + "HTTP/1.1 200 OK",
        "a status line without an end" to "HTTP/1.1 200 HTTP/1.1 200 ",
        "beginnings of a status line" to "HTTP/1.1 20",
        "first bytes" to "H",
        "events" to "id: 1\ndata: HTTP/1.1 200 OK\n\n",
    )

    private fun body(part: String, size: Int): ByteArray =
        part.repeat(size / part.length + 1).take(size).encodeToByteArray()

    private fun ByteArray.parts(size: Int) = (indices step size).map { copyOfRange(it, minOf(it + size, this.size)) }

    /** Guards against an entry host that serves nothing else while it scans a body without end. */
    @Test
    fun `the cost of a byte does not grow with the body`() {
        for ((name, part) in bodies) {
            for (size in listOf(16, 64, 256).map { it * 1_024 }) {
                for (partSize in listOf(1, 100, 16_384)) {
                    val scanner = SecondResponseScanner(NamedHeads)
                    body(part, size).parts(partSize).forEach(scanner::push)
                    assertTrue(scanner.steps <= MAX_STEPS * size, "$name, $size by $partSize: ${scanner.steps} steps")
                }
            }
        }
    }

    /** Guards against the same cost at the end of a body that may have been filled by another response. */
    @Test
    fun `the cost of a byte at the end of a body does not grow with the body`() {
        for ((name, part) in bodies) {
            for (size in listOf(4, 16, 32).map { it * 1_024 }) {
                for (partSize in listOf(1, 100, 16_384)) {
                    val check = BodyEndCheck(body(part, size))
                    body(part, size).parts(partSize).forEach(check::push)
                    assertTrue(check.steps <= 2 * MAX_STEPS * size, "$name, $size by $partSize: ${check.steps} steps")
                }
            }
        }
    }

    /** Guards against the same cost in a stream whose event has no end, and comes in small parts. */
    @Test
    fun `the cost of a byte does not grow with the event of a stream`() {
        val events = mapOf(
            "an event without an end" to "x",
            "lines of an event without an end" to "data: x\n",
            "comments" to ": x\n\n",
            "events" to "id: 1\ndata: x\n\n",
        )
        for ((name, part) in events) {
            for (size in listOf(16, 64, 256).map { it * 1_024 }) {
                for (partSize in listOf(1, 100, 16_384)) {
                    val cursor = EventStreamCursor()
                    body(part, size).parts(partSize).forEach(cursor::push)
                    assertTrue(cursor.steps <= MAX_STEPS * size, "$name, $size by $partSize: ${cursor.steps} steps")
                }
            }
        }
    }

    private companion object {
        /** A byte is looked at, belongs to at most one line, and is moved or copied a few times. */
        const val MAX_STEPS = 8
    }
}
