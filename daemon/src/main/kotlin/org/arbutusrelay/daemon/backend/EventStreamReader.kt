package org.arbutusrelay.daemon.backend

import okio.Buffer
import okio.BufferedSource
import java.io.EOFException

/** One server-sent event. */
internal class StreamEvent(val id: String?, val data: String, val bytes: ByteArray) {
    /** True for the event that ends a complete stream. */
    val isEnd: Boolean get() = data == END

    private companion object {
        private const val END = "[DONE]"
    }
}

/** Splits a response body into server-sent events of at most [maxEventBytes]. */
internal class EventStreamReader(private val source: BufferedSource, private val maxEventBytes: Long = 1 shl 20) {
    /** Returns the next whole event, or null at the end of the body; an event that broke off is not returned. */
    fun next(): StreamEvent? {
        val raw = Buffer()
        val data = StringBuilder()
        var id: String? = null
        while (true) {
            val line = readLine(raw) ?: return null
            if (line.isEmpty()) {
                if (raw.size <= 1) raw.clear() else return StreamEvent(id, data.toString(), raw.readByteArray())
                continue
            }
            if (line.startsWith("id:")) id = line.substring(ID_LENGTH).trim()
            if (line.startsWith("data:")) data.append(line.substring(DATA_LENGTH).trim())
        }
    }

    private fun readLine(raw: Buffer): String? {
        val line = try {
            source.readUtf8LineStrict((maxEventBytes - raw.size).coerceAtLeast(0))
        } catch (_: EOFException) {
            return null
        }
        raw.writeUtf8(line).writeByte('\n'.code)
        return line
    }

    private companion object {
        private const val ID_LENGTH = 3
        private const val DATA_LENGTH = 5
    }
}

/**
 * Checks the positions of the events of one stream.
 *
 * An event identifier is a decimal position that begins at 0 or 1 and grows by one. An event without a position is
 * accepted as it is, but a stream without positions cannot be resumed.
 */
internal class StreamSequence {
    /** Position of the last accepted event, or null. */
    var last: Long? = null
        private set

    /** Returns why an event with the given [id] is dropped, or null when it is the next one. */
    fun dropReason(id: String?): DropReason? {
        if (id == null) return null
        val position = id.toLongOrNull() ?: return DropReason.FOREIGN
        val previous = last
        val isNext = if (previous == null) position == 0L || position == 1L else position == previous + 1
        if (isNext) last = position
        return when {
            isNext -> null
            previous != null && position <= previous -> DropReason.DUPLICATE
            else -> DropReason.OUT_OF_ORDER
        }
    }
}
