package org.arbutusrelay.core.relay

/**
 * Finds a status line inside the head of a response.
 *
 * A faulty backend server may leave the beginning of a head on a connection. The status line of the next response is
 * then read as the rest of a line of that head: of its reason phrase or of the value of a field.
 */
public object JoinedHeads {
    private const val PREFIX = "HTTP/1."
    private val STATUS_LINE = Regex("""HTTP/1\.\d \d{3}""")

    /** Returns true if [texts], the reason phrase and the values of the fields of a head, contain a status line. */
    public fun isJoined(texts: Sequence<String>): Boolean = texts.any { PREFIX in it && STATUS_LINE in it }
}
