package org.arbutusrelay.core.relay

/**
 * Compares the body of a second copy of a response with the first.
 *
 * The beginning of another response shows that the server had ended the first, but not that the first was whole. It is
 * whole if the copy is equal to it; a copy that has more or ends sooner leaves that open.
 */
public interface CopyCheck {
    /** Returns true while the copy, of which [bytes] come next, has nothing that the first response lacks. */
    public fun accepts(bytes: ByteArray): Boolean

    /** True once the copy has everything that the first response has, and nothing that is incomplete. */
    public val isWhole: Boolean

    public companion object {
        /** Returns a check against [body], the whole body of the first response. */
        public fun ofBody(body: ByteArray): CopyCheck = BodyCopyCheck(body)

        /** Returns a check against a stream whose last event was [lastEventId]. */
        public fun ofStream(lastEventId: Long): CopyCheck = StreamCopyCheck(lastEventId)
    }
}

private class BodyCopyCheck(private val body: ByteArray) : CopyCheck {
    private var comparedBytes = 0

    override val isWhole: Boolean get() = comparedBytes == body.size

    override fun accepts(bytes: ByteArray): Boolean {
        val isEqual = comparedBytes + bytes.size <= body.size &&
            bytes.indices.all { bytes[it] == body[comparedBytes + it] }
        comparedBytes += bytes.size
        return isEqual
    }
}

private class StreamCopyCheck(private val lastEventId: Long) : CopyCheck {
    // A position of its own, as an event of the copy must not advance that of the caller.
    private val position = StreamPosition()
    private val cursor = EventStreamCursor(position)

    override val isWhole: Boolean get() = position.lastEventId == lastEventId && !cursor.isInsideEvent

    override fun accepts(bytes: ByteArray): Boolean {
        cursor.push(bytes)
        val isBehind = position.lastEventId.let { it == null || it <= lastEventId }
        return isBehind && !cursor.isEventRefused && !cursor.isEventTooLong
    }
}
