package org.arbutusrelay.core.relay

/**
 * Limits the memory that buffered responses take, for one response and for all together.
 *
 * A faulty backend server may send a body without end; the response is then given up before it exhausts the memory of
 * the host. Confined to one thread.
 */
public class ResponseBuffers(
    private val maxResponseBytes: Int = 4 * 1024 * 1024,
    private val maxTotalBytes: Int = 16 * 1024 * 1024,
) {
    /** Bytes that are reserved for all responses. */
    public var totalBytes: Int = 0
        private set

    /** Reserves [bytes] more for a response that holds [heldBytes]; returns false if a limit would be exceeded. */
    public fun tryReserve(heldBytes: Int, bytes: Int): Boolean {
        if (heldBytes + bytes > maxResponseBytes || totalBytes + bytes > maxTotalBytes) return false
        totalBytes += bytes
        return true
    }

    /** Releases [bytes] that were reserved for a response. */
    public fun release(bytes: Int) {
        totalBytes -= bytes
    }
}
