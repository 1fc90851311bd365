package org.arbutusrelay.core.relay

/**
 * A window of a sequence of bytes, which grows at its end and shrinks at its beginning.
 *
 * Positions are those in the whole sequence. Each byte is copied a constant number of times on average, however small
 * the parts are in which it is appended and dropped. Not thread-safe.
 */
internal class ByteQueue {
    private var array = ByteArray(0)
    private var startIndex = 0

    /** Position of the first byte of the window. */
    var start: Long = 0
        private set

    /** Position behind the last byte of the window. */
    var end: Long = 0
        private set

    /** Number of bytes in the window. */
    val size: Int get() = (end - start).toInt()

    /** Number of bytes that were copied so far. */
    var copiedBytes: Long = 0
        private set

    operator fun get(position: Long): Byte = array[indexOf(position)]

    fun append(bytes: ByteArray) {
        if (startIndex + size + bytes.size > array.size) makeRoom(bytes.size)
        bytes.copyInto(array, startIndex + size)
        copiedBytes += bytes.size
        end += bytes.size
    }

    fun copyOfRange(from: Long, until: Long): ByteArray {
        copiedBytes += until - from
        return array.copyOfRange(indexOf(from), indexOf(until))
    }

    fun text(from: Long, until: Long): String {
        copiedBytes += until - from
        return String(array, indexOf(from), (until - from).toInt(), Charsets.ISO_8859_1)
    }

    /** Drops the bytes before [position]. */
    fun dropBefore(position: Long) {
        startIndex = indexOf(position)
        start = position
    }

    private fun indexOf(position: Long) = startIndex + (position - start).toInt()

    private fun makeRoom(bytes: Int) {
        copiedBytes += size
        // Moving less than half of the array leaves room for at least as many bytes as are moved.
        val hasRoom = (size + bytes) * 2 <= array.size
        val target = if (hasRoom) array else ByteArray((size + bytes) * 2)
        array.copyInto(target, 0, startIndex, startIndex + size)
        array = target
        startIndex = 0
    }
}
