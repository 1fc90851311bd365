package org.arbutusrelay.core.relay

import kotlin.test.Test
import kotlin.test.assertEquals

class JoinedHeadsTest {
    /** Guards against heads that are read as one, and against sound heads that are refused. */
    @Test
    fun `a status line inside a head shows that two heads are joined`() {
        data class Case(val texts: List<String>, val isJoined: Boolean)
        val cases = listOf(
            Case(emptyList(), false),
            Case(listOf("OK", "text/plain"), false),
            Case(listOf("OHTTP/1.1 500 Internal Server Error"), true),
            Case(listOf("HTTP/1.0 200 OK"), true),
            Case(listOf("OK", "sHTTP/1.1 503 "), true),
            Case(listOf("OK", "1.1 proxy, HTTP/1.1 proxy", "HTTP/2 200"), false),
            Case(listOf("HTTP/1.1 20"), false),
        )
        for (case in cases) assertEquals(case.isJoined, JoinedHeads.isJoined(case.texts.asSequence()), "$case")
    }
}
