package org.arbutusrelay.core.relay

/**
 * Finds the head of a second response in the body of a response.
 *
 * A faulty backend server may write a response twice. Where the body has no end of its own, or was cut before it, the
 * second copy is read as a part of the body. The scanner holds bytes back while they may begin a head, and returns
 * everything else at once. A whole event of a stream is never held back: it ends with an empty line, which also ends
 * a head.
 *
 * [rule] decides whether a head belongs to a response or is quoted by the body. The cost of a byte is bounded, whatever
 * stands before it, as a body may have no end; see [HeadTracker].
 */
public class SecondResponseScanner(private val rule: EmbeddedHeadRule) {
    private var tracker = HeadTracker(rule)

    /** Head of the second response, or null as long as none was found. */
    public var secondHead: EmbeddedHead? = null
        private set

    /**
     * True if the body so far ends with the beginning of a head that can't be told from a body.
     *
     * A shorter beginning of less than [MIN_DOUBTFUL_BYTES] counts as a part of the body, as text may well end with
     * "HTTP".
     */
    public val endsInsideHead: Boolean get() = tracker.heldBytes >= MIN_DOUBTFUL_BYTES

    /** True if the body so far ends with a head that [rule] took for a quotation, such as an interim one. */
    public var endsBehindHead: Boolean = false
        private set

    /** True if the body so far has a head that [rule] took for a quotation. */
    public var hasQuotedHead: Boolean = false
        private set

    /** Number of bytes and heads that were looked at, moved or copied so far. */
    internal val steps: Long get() = tracker.steps

    /** Appends the next bytes and returns those that are certainly body; nothing after [secondHead] is. */
    public fun push(bytes: ByteArray): ByteArray {
        if (secondHead != null) return EMPTY
        if (bytes.isNotEmpty()) endsBehindHead = false
        val wasHolding = tracker.heldBytes > 0
        if (!wasHolding && FIRST_BYTE !in bytes) return bytes
        tracker.append(bytes)
        while (true) {
            val heads = tracker.next() ?: break
            if (heads.isResponse) return endBefore(heads)
            hasQuotedHead = true
            endsBehindHead = heads.isEnded && heads.end == tracker.end
        }
        val body = tracker.take(tracker.firstStart ?: tracker.end)
        return if (wasHolding || body.size < bytes.size) body else bytes
    }

    /** Returns the bytes that are held back: the beginning of the second response's body after [secondHead]. */
    public fun takeHeld(): ByteArray = tracker.take(tracker.end).also { tracker = HeadTracker(rule) }

    private fun endBefore(heads: EndedHeads): ByteArray {
        secondHead = tracker.parse(heads)
        val body = tracker.take(heads.start)
        tracker.take(heads.end)
        return body
    }

    public companion object {
        /** Length of `HTTP/`. */
        public const val MIN_DOUBTFUL_BYTES: Int = 5
        private val EMPTY = ByteArray(0)
        private const val FIRST_BYTE = 'H'.code.toByte()
    }
}
