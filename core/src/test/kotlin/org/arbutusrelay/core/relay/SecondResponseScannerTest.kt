package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class SecondResponseScannerTest {
    private fun scanner() = SecondResponseScanner(NamedHeads)

    private class Scanned(val body: String, val head: EmbeddedHead?, val held: String, val endsInsideHead: Boolean)

    private fun scan(text: String, size: Int): Scanned {
        val scanner = scanner()
        val body = text.chunked(size).joinToString("") { String(scanner.push(it.encodeToByteArray())) }
        val endsInsideHead = scanner.secondHead == null && scanner.endsInsideHead
        return Scanned(body, scanner.secondHead, String(scanner.takeHeld()), endsInsideHead)
    }

    /** Guards against a second response that is read as a part of the body, wherever it begins and is split. */
    @Test
    fun `the body ends before the head of a second response`() {
        val heads = listOf(
            "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
            "HTTP/1.0 200 OK\nContent-Type: x\nId:a\n\n",
            "HTTP/1.1 503 \r\nOther: b\r\nId: a\r\n\r\n",
            "HTTP/1.1 503\r\nId: a\r\n\r\n",
        )
        val quoted = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"
        val bodies = listOf("", "a body", "H", "HTTP", "HTTP/1.1 ", "id: 1\ndata: a\n\n", "id: 1\nda", quoted)
        for (head in heads) {
            for (body in bodies) {
                for (size in listOf(1, 2, 5, 1_000)) {
                    val scanned = scan(body + head + "rest", size)
                    assertEquals(body, scanned.body, "$body + $head by $size")
                    assertEquals(listOf("a"), scanned.head?.fields?.filter { it.first == "Id" }?.map { it.second })
                }
                assertEquals("rest", scan(body + head + "rest", 1_000).held)
            }
        }
    }

    /** Guards against a head that is a part of the body because the end of a chunk has taken its empty line. */
    @Test
    fun `a head without its empty line is one of a second response if it names a request`() {
        for (size in listOf(1, 2, 5, 1_000)) {
            val scanned = scan("body" + "HTTP/1.1 200 OK\r\nId: a\r\n" + "another body", size)
            assertEquals("body", scanned.body)
            assertEquals(EmbeddedHead(200, listOf("Id" to "a"), isEnded = false), scanned.head)
            val quoted = "body HTTP/1.1 200 OK\r\nX: a\r\nanother body"
            assertEquals(quoted, scan(quoted, size).body)
        }
    }

    /** Guards against a body that is cut or changed because it quotes HTTP. */
    @Test
    fun `a body that quotes HTTP is passed on unchanged`() {
        val texts = listOf(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nquoted",
            "GET / HTTP/1.1\r\nId: a\r\n\r\n",
            "HTTP/1.1 2000 OK\r\nId: a\r\n\r\n",
            "HTTP/2.1 200 OK\r\nId: a\r\n\r\n",
            "HTTP/1.1 200 OK\r\nno field\r\nId: a\r\n\r\n",
            "data: HTTP/1.1 200 OK\ndata: Id: a\n\ndata: next\n\n",
            "HHTTTPHTTP/1.HTTP/1.1 x",
            "HTTP/1.1 200 " + "x".repeat(40_000) + "\r\nId: a\r\n\r\n",
        )
        for (text in texts) {
            for (size in listOf(1, 3, 100_000).filter { it > 1 || text.length < 1_000 }) {
                val scanned = scan(text, size)
                assertEquals(text, scanned.body + scanned.held, "$text by $size")
                assertEquals(null, scanned.head)
            }
        }
    }

    /** Guards against events and other ordinary bytes that wait for what follows them. */
    @Test
    fun `only the beginning of a head is held back`() {
        data class Case(val text: String, val held: String, val endsInsideHead: Boolean)
        val head = "HTTP/1.1 200 OK\r\nContent-Type: x\r\n\r"
        val cases = listOf(
            Case("id: 1\ndata: HTTP/1.1 200 OK\n\n", "", false),
            Case("id: 1\ndata: HTTP/1.1 200 OK\ndata: a: b\n\n", "", false),
            Case("ends with H", "H", false),
            Case("ends with HTTP", "HTTP", false),
            Case("HTTP/1.x", "", false),
            Case("HTTP/1.1 200 OK\r\nnot a field", "", false),
        ) + (1..head.length).map { Case("body" + head.take(it), head.take(it), it >= "HTTP/".length) }
        for (case in cases) {
            for (size in listOf(1, 4, 1_000)) {
                val scanned = scan(case.text, size)
                assertEquals(case.held, scanned.held, "$case by $size")
                assertEquals(case.text.removeSuffix(case.held), scanned.body, "$case by $size")
                assertEquals(case.endsInsideHead, scanned.endsInsideHead, "$case by $size")
            }
        }
    }

    /** Guards against a cut response that counts as whole because its server began a second one. */
    @Test
    fun `only a copy that is equal to the first response shows that it was whole`() {
        data class Case(val check: CopyCheck, val copy: String, val isAccepted: Boolean, val isWhole: Boolean)
        val body = { CopyCheck.ofBody("a whole body".encodeToByteArray()) }
        val stream = { CopyCheck.ofStream(2) }
        val cases = listOf(
            Case(body(), "", true, false),
            Case(body(), "a", true, false),
            Case(body(), "a whole body", true, true),
            Case(CopyCheck.ofBody(ByteArray(0)), "", true, true),
            Case(body(), "b", false, false),
            Case(body(), "a whole body.", false, false),
            Case(body(), "a whole\u0000", false, false),
            Case(stream(), "", true, false),
            Case(stream(), ": comment\n\n", true, false),
            Case(stream(), "id: 1\ndata: a\n\n", true, false),
            Case(stream(), "id: 1\ndata: a\n\nid: 2\nda", true, false),
            Case(stream(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, true),
            Case(stream(), "id: 2\ndata: b\n\nid: 3\nda", true, false),
            Case(stream(), "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", false, false),
            Case(stream(), "id: 1\ndata: a\n\ndata: a\n\n", false, false),
        )
        for (case in cases) {
            val isAccepted = case.copy.chunked(3).all { case.check.accepts(it.encodeToByteArray()) }
            assertEquals(case.isAccepted, isAccepted, case.copy)
            assertEquals(case.isWhole, isAccepted && case.check.isWhole, case.copy)
        }
    }
}
