package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class BodyEndCheckTest {
    private data class Case(
        val end: String,
        val following: String,
        val state: BodyEnd,
        /** State if nothing more follows. */
        val finalState: BodyEnd = state,
    )

    private val head = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

    private fun check(case: Case, size: Int) {
        val check = BodyEndCheck(case.end.encodeToByteArray())
        case.following.chunked(size).forEach { check.push(it.encodeToByteArray()) }
        assertEquals(case.state, check.state, "$case by $size")
        assertEquals(case.finalState, check.finalState, "$case by $size")
    }

    /** Guards against a cut body that the beginning of a head fills, wherever the head is divided. */
    @Test
    fun `a head that goes on behind the body shows that it was cut`() {
        for (cut in 1 until head.length) {
            for (size in listOf(1, 2, 5, 1_000)) check(Case(head.take(cut), head.drop(cut), BodyEnd.FILLED), size)
        }
    }

    /** Guards against whole bodies that fail, and against beginnings of a head that count as whole. */
    @Test
    fun `the bytes behind a body decide whether it is whole`() {
        val cases = listOf(
            // A body that ends with a whole head, which another may follow.
            Case("", "", BodyEnd.OPEN, BodyEnd.WHOLE),
            Case("", "HTTP/1.1 ", BodyEnd.OPEN, BodyEnd.FILLED),
            Case("", head, BodyEnd.FILLED),
            Case("", "x", BodyEnd.WHOLE),
            Case("H", "", BodyEnd.OPEN, BodyEnd.WHOLE),
            Case("HTTP/1.1 200 OK", "", BodyEnd.OPEN, BodyEnd.WHOLE),
            Case("H", "T", BodyEnd.OPEN, BodyEnd.FILLED),
            Case("HTTP", "/1.1 200", BodyEnd.OPEN, BodyEnd.FILLED),
            Case("H", "x", BodyEnd.WHOLE),
            Case("H", head, BodyEnd.WHOLE),
            Case("HTTP", head, BodyEnd.WHOLE),
            Case("HTTP/1.1 ", "2000 OK\r\n", BodyEnd.WHOLE),
            Case("HTTP/1.1 200 OK\r\nX: y\r\n", head, BodyEnd.WHOLE),
            Case("HTTP/1.1 200 OK\r\nX: y\r\n", "no field\r\n", BodyEnd.WHOLE),
            // The status line may have ended, or have a longer reason phrase.
            Case("HTTP/1.1 200 OK", head, BodyEnd.FILLED),
            // The other head may begin at any place of the end.
            Case("HTTP/1.1 200 H", "TTP/1.1 200 OK\r\n", BodyEnd.FILLED),
            Case("HTTP/1.1 200 OK\r\nX: H", "TTP/1.1 500 Failed\r\n\r\n", BodyEnd.FILLED),
            Case("HTTP/1.1 200 OK\r\nHT", "TP/1.1 200 OK\r\n", BodyEnd.FILLED),
        )
        for (case in cases) {
            for (size in listOf(1, 3, 1_000)) {
                // A part of the bytes may already decide that a longer status line goes on.
                if (size == 1_000 || case.state != BodyEnd.WHOLE || case.end.length < STATUS_LINE) check(case, size)
            }
        }
    }

    /** Guards against a filled body that counts as whole because more of the other head arrives at once. */
    @Test
    fun `the bytes behind a body decide alike however they are divided`() {
        val lines =
            listOf("X: a\r\n b\r\n", "X : a\r\n", "no field\r\n", "X: aHTTP/1.1 200 OK\r\nIdHTTP/1.1 200 OK\r\n")
        for (line in lines) {
            val bytes = "HTTP/1.1 200 OK\r\n$line" + "Id: a\r\n\r\n"
            for (cut in 1 until STATUS_LINE) {
                for (size in listOf(1, 5, 1_000)) check(Case(bytes.take(cut), bytes.drop(cut), BodyEnd.FILLED), size)
            }
        }
    }

    private companion object {
        const val STATUS_LINE = 13
    }
}
