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
public class BodyEndCheck(end: ByteArray) {
    private val tracker = HeadTracker(AnyHead)

    /** Heads that begin at this position or later lie behind the body. */
    private val startLimit = maxOf(end.size, 1).toLong()
    private val endBytes = end.size.toLong()

    /** What is known after the bytes so far. */
    public var state: BodyEnd = BodyEnd.OPEN
        private set

    /** What is known if no more bytes come: bytes that go on like the head are hardly anything else. */
    public val finalState: BodyEnd
        get() = when {
            state != BodyEnd.OPEN -> state
            tracker.end > endBytes -> BodyEnd.FILLED
            else -> BodyEnd.WHOLE
        }

    /** True once a head that begins in the body has ended with its empty line. */
    private var hasEndedHead = false

    init {
        read(end)
    }

    /** Number of bytes and heads that were looked at, moved or copied so far. */
    internal val steps: Long get() = tracker.steps

    /** Appends the next bytes behind the body. */
    public fun push(following: ByteArray) {
        if (state != BodyEnd.OPEN || following.isEmpty()) return
        val divided = minOf(following.size, HeadTracker.MIN_STATUS_LINE_BYTES)
        val isDivided = following.take(divided).count { endsStatusLine(it) } > 0
        read(following.copyOfRange(divided, following.size))
        state = when {
            // A status line that the end of the body divides is that of another response, whatever its fields are.
            isDivided || hasEndedHead || isInBody(tracker.firstHeadStart) -> BodyEnd.FILLED

            isInBody(tracker.partialStart) -> BodyEnd.OPEN

            else -> BodyEnd.WHOLE
        }
    }

    /** Reads [byte] and returns true if it shows that a status line begins in the body. */
    private fun endsStatusLine(byte: Byte): Boolean {
        val latestStart = tracker.latestStart
        read(byteArrayOf(byte))
        return tracker.latestStart != latestStart && isInBody(tracker.latestStart)
    }

    private fun read(bytes: ByteArray) {
        tracker.append(bytes)
        while (true) {
            val heads = tracker.next() ?: break
            if (heads.isEnded && isInBody(heads.start)) hasEndedHead = true
        }
    }

    private fun isInBody(start: Long?) = start != null && start < startLimit

    /** The head that the body ends with may be that of any response. */
    private object AnyHead : EmbeddedHeadRule {
        override val isEventStream: Boolean = false

        override fun namesRequest(name: String): Boolean = false
    }
}
