package org.arbutusrelay.core.relay

/**
 * Limits the memory of request bodies that are being read, or kept for another send.
 *
 * Short bodies have a share of their own, so that they are read beside any number of long ones. A long body is reserved
 * as a whole once [PROBE_BYTES] of it have arrived: bodies that are read in parts would wait for each other, and a
 * sender that sends next to nothing would hold the memory of a whole body. Confined to one thread.
 */
public class BodyBudget(totalBytes: Long) {
    private val shortLimitBytes = totalBytes / SHORT_SHARE_DIVISOR
    private val longLimitBytes = totalBytes - shortLimitBytes
    private var shortBytes = 0L
    private var longBytes = 0L

    /** Bytes that are reserved for all bodies. */
    public val reservedBytes: Long get() = shortBytes + longBytes

    /** Memory that is reserved for one body. */
    public inner class Lease {
        private var ownShortBytes = 0L
        private var ownLongBytes = 0L

        /**
         * Reserves memory for a body of [expectedBytes] at most, of which [readBytes] have arrived.
         *
         * Returns false if there is no room now. A body longer than all long ones may be together is read alone.
         */
        public fun tryReserve(readBytes: Long, expectedBytes: Long): Boolean {
            val readableBytes = if (expectedBytes <= SHORT_BYTES) SHORT_BYTES else PROBE_BYTES
            return when {
                ownLongBytes > 0 || readBytes <= ownShortBytes -> true
                readBytes <= readableBytes -> tryReserveShort(readBytes - ownShortBytes)
                else -> tryReserveLong(maxOf(readBytes, expectedBytes))
            }
        }

        /** Releases what is reserved; repeated calls have no effect. */
        public fun release() {
            shortBytes -= ownShortBytes
            longBytes -= ownLongBytes
            ownShortBytes = 0
            ownLongBytes = 0
        }

        private fun tryReserveShort(bytes: Long): Boolean {
            if (shortBytes + bytes > shortLimitBytes) return false
            shortBytes += bytes
            ownShortBytes += bytes
            return true
        }

        private fun tryReserveLong(bytes: Long): Boolean {
            if (longBytes > 0 && longBytes + bytes > longLimitBytes) return false
            release()
            longBytes += bytes
            ownLongBytes = bytes
            return true
        }
    }

    public companion object {
        /** Longest body that counts as short, in bytes: a long prompt as text, without attachments. */
        public const val SHORT_BYTES: Long = 64 * 1024

        /** Part of a long body, in bytes, that is read before the whole is reserved; one chunk of the HTTP decoder. */
        public const val PROBE_BYTES: Long = 16 * 1024

        /** Leaves a quarter to short bodies: room for the first part of 80 long ones and some hundred short ones. */
        private const val SHORT_SHARE_DIVISOR = 4
    }
}
