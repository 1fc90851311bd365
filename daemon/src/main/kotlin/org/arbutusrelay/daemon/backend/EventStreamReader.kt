package org.arbutusrelay.daemon.backend

import okio.Buffer
import okio.BufferedSource
import java.io.EOFException

/** A server-sent event. */
internal class StreamEvent(val id: String?, val data: String, val bytes: ByteArray) {
    /** True for the event that marks the end of a complete stream. */
    val isEndOfStream: Boolean get() = data == END_OF_STREAM

    /** True if each line is a comment, such as those that keep a connection open. */
    val isComment: Boolean get() = bytes.decodeToString().lineSequence().all { it.isEmpty() || it.startsWith(':') }

    private companion object {
        private const val END_OF_STREAM = "[DONE]"
    }
}

/** Splits a response body into server-sent events of at most [maxEventBytes]. */
internal class EventStreamReader(private val source: BufferedSource, private val maxEventBytes: Long = 1 shl 20) {
    /** Returns the next complete event, or null at the end of the body; a truncated event is discarded. */
    fun next(): StreamEvent? {
        val bytes = Buffer()
        val data = StringBuilder()
        var id: String? = null
        while (true) {
            val line = readLine(bytes) ?: return null
            if (line.isEmpty()) {
                if (bytes.size <= 1) bytes.clear() else return StreamEvent(id, data.toString(), bytes.readByteArray())
                continue
            }
            if (line.startsWith("id:")) id = line.substring(ID_FIELD_LENGTH).trim()
            if (line.startsWith("data:")) data.append(line.substring(DATA_FIELD_LENGTH).trim())
        }
    }

    private fun readLine(bytes: Buffer): String? {
        val line = try {
            source.readUtf8LineStrict((maxEventBytes - bytes.size).coerceAtLeast(0))
        } catch (_: EOFException) {
            return null
        }
        bytes.writeUtf8(line).writeByte('\n'.code)
        return line
    }

    private companion object {
        private const val ID_FIELD_LENGTH = 3
        private const val DATA_FIELD_LENGTH = 5
    }
}

/**
 * Verifies the event positions of a stream.
 *
 * An event identifier is a decimal position that starts at 0 or 1 and increases by one. A stream without positions is
 * accepted, but cannot be resumed. After an event with a position, only comments and the end of the stream may have
 * none.
 */
internal class StreamSequence {
    /** Position of the last accepted event, or null if there is none. */
    var lastPosition: Long? = null
        private set

    /** Returns the reason to drop [event], or null if the event is accepted. */
    fun dropReason(event: StreamEvent): DropReason? {
        val id = event.id
        if (id == null) {
            val isAccepted = lastPosition == null || event.isEndOfStream || event.isComment
            return if (isAccepted) null else DropReason.FOREIGN
        }
        val position = id.toLongOrNull() ?: return DropReason.FOREIGN
        val previous = lastPosition
        val isExpected = if (previous == null) position == 0L || position == 1L else position == previous + 1
        if (isExpected) lastPosition = position
        return when {
            isExpected -> null
            previous != null && position <= previous -> DropReason.DUPLICATE
            else -> DropReason.OUT_OF_ORDER
        }
    }
}
