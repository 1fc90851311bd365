package org.arbutusrelay.core.stream

/** Service of a stream, and the software version of the backend server that sent its first event. */
public data class StreamOrigin(val service: String, val softwareVersion: String)

/**
 * Remembers where recent streams began, by the caller's attempt that received the first event.
 *
 * What different software versions write does not fit together, so a stream may go on only at the version that began
 * it. A stream is forgotten [RETENTION_MS] after its record, or earlier if there are more than [maxStreams], the oldest
 * first. Times are monotonic, in milliseconds. Not thread-safe.
 */
public class StreamOriginTable(private val maxStreams: Int = MAX_STREAMS) {
    private class Entry(val origin: StreamOrigin, val recordedMs: Long)

    private val entries = LinkedHashMap<String, Entry>()

    /** Number of streams that are remembered. */
    public val size: Int get() = entries.size

    /**
     * Records the origin of the stream that began with [attemptId]; the first record of an attempt stands.
     *
     * Returns false if [attemptId] is too long to be kept: callers choose it, and a table of long ones would exhaust
     * the memory.
     */
    public fun record(attemptId: String, origin: StreamOrigin, nowMs: Long): Boolean {
        if (attemptId.length > MAX_ATTEMPT_ID_CHARACTERS) return false
        forget(nowMs)
        if (attemptId in entries) return true
        if (entries.size >= maxStreams) entries.remove(entries.keys.first())
        entries[attemptId] = Entry(origin, nowMs)
        return true
    }

    /** Returns the origin of the stream that began with [attemptId], or null if it is not known. */
    public fun find(attemptId: String, nowMs: Long): StreamOrigin? =
        entries[attemptId]?.takeIf { nowMs - it.recordedMs <= RETENTION_MS }?.origin

    /** Returns the streams that were recorded at [sinceMs] or later, the oldest first. */
    public fun recordedSince(sinceMs: Long): Map<String, StreamOrigin> =
        entries.filterValues { it.recordedMs >= sinceMs }.mapValues { it.value.origin }

    private fun forget(nowMs: Long) {
        val oldest = entries.values.iterator()
        while (oldest.hasNext() && nowMs - oldest.next().recordedMs > RETENTION_MS) oldest.remove()
    }

    public companion object {
        /** Three times the ten seconds after which callers give a stream up on the known sites. */
        public const val RETENTION_MS: Long = 30_000

        /** About 6 MB; 1,600 new streams a second for [RETENTION_MS]. */
        private const val MAX_STREAMS = 50_000

        /** Sixteen times the identifiers of known callers; 1,000 of them fit in a frame between hosts. */
        public const val MAX_ATTEMPT_ID_CHARACTERS: Int = 256
    }
}
