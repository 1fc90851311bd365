package org.arbutusrelay.core.relay

/** What is known of a body with a length that ends like the beginning of a head. */
public enum class BodyEnd {
    /** The bytes that follow decide. */
    OPEN,

    /** The body is whole. */
    WHOLE,

    /** The body was cut, and the beginning of another response fills it up to its length. */
    FILLED,
}

/**
 * Decides by the bytes behind a body with a length whether the body is whole.
 *
 * A faulty backend server may stop before the length and write another response. The beginning of the other head then
 * fills the body, and the rest of the head comes behind it. [end] is the end of the body, from the first byte on that
 * may begin a head; it is empty for a body that ends with a whole head, such as an interim one.
 */
public class BodyEndCheck(private val end: ByteArray) {
    private var bytes = end
    private val starts = if (end.isEmpty()) listOf(0) else end.indices.toList()

    /** What is known after the bytes so far. */
    public var state: BodyEnd = BodyEnd.OPEN
        private set

    /** What is known if no more bytes come: bytes that go on like the head are hardly anything else. */
    public val finalState: BodyEnd
        get() = when {
            state != BodyEnd.OPEN -> state
            bytes.size > end.size -> BodyEnd.FILLED
            else -> BodyEnd.WHOLE
        }

    /** Appends the next bytes behind the body. */
    public fun push(following: ByteArray) {
        if (state != BodyEnd.OPEN || following.isEmpty()) return
        bytes += following
        val states = starts.map(::stateFrom)
        state = when {
            BodyEnd.FILLED in states -> BodyEnd.FILLED
            BodyEnd.OPEN in states -> BodyEnd.OPEN
            else -> BodyEnd.WHOLE
        }
    }

    /**
     * Returns what follows if the other head begins at [start].
     *
     * A status line that the end of the body divides is that of another response, whatever its fields are.
     */
    private fun stateFrom(start: Int): BodyEnd {
        val isDivided = end.size - start < HeadMatcher.MIN_STATUS_LINE_BYTES
        val matched =
            if (isDivided) bytes.copyOf(minOf(bytes.size, start + HeadMatcher.MIN_STATUS_LINE_BYTES)) else bytes
        val match = HeadMatcher.match(matched, start)
        return when {
            match is HeadMatch.None || (match is HeadMatch.Found && !match.head.isEnded) -> BodyEnd.WHOLE
            bytes.size - start >= HeadMatcher.MIN_STATUS_LINE_BYTES -> BodyEnd.FILLED
            else -> BodyEnd.OPEN
        }
    }
}
