package org.arbutusrelay.core.consensus

/** Replication progress and flow control of one follower or learner, as tracked by the leader. */
internal class FollowerProgress(nextIndex: Long, private val config: ConsensusConfig) {
    var nextIndex: Long = nextIndex
        private set

    /** Highest index that the follower has acknowledged as synced. */
    var matchIndex: Long = 0
        private set
    private val inFlight = ArrayDeque<Long>()
    private var isProbing = true
    private var isPaused = false
    private var stalledHeartbeats = 0

    /** Snapshot that is being transferred, or null. */
    var snapshotInTransfer: ConsensusSnapshot? = null
        private set
    var transferOffsetBytes = 0L
        private set
    private var isChunkInFlight = false

    fun canSend(): Boolean = if (isProbing) !isPaused else inFlight.size < config.maxInFlight

    fun canSendChunk(): Boolean = snapshotInTransfer != null && !isChunkInFlight

    fun onSent(lastIndex: Long) {
        if (isProbing) {
            isPaused = true
        } else {
            inFlight += lastIndex
            nextIndex = lastIndex + 1
        }
    }

    /** Treats requests without a reply for several heartbeats as lost and probes again. */
    fun onHeartbeat() {
        if (!isPaused && inFlight.isEmpty() && !isChunkInFlight) {
            stalledHeartbeats = 0
            return
        }
        if (++stalledHeartbeats < LOST_AFTER_HEARTBEATS) return
        stalledHeartbeats = 0
        isChunkInFlight = false
        probe(matchIndex + 1)
    }

    fun onMatch(index: Long) {
        if (index > matchIndex) stalledHeartbeats = 0
        matchIndex = maxOf(matchIndex, index)
        snapshotInTransfer?.let {
            if (matchIndex < it.lastIndex) return
            snapshotInTransfer = null
            isChunkInFlight = false
        }
        while (inFlight.isNotEmpty() && inFlight.first() <= matchIndex) inFlight.removeFirst()
        nextIndex = if (isProbing) matchIndex + 1 else maxOf(nextIndex, matchIndex + 1)
        isProbing = false
        isPaused = false
    }

    fun onMismatch(hint: Long) {
        if (snapshotInTransfer == null) probe(minOf(hint + 1, nextIndex - 1).coerceAtLeast(matchIndex + 1))
    }

    fun startTransfer(snapshot: ConsensusSnapshot) {
        snapshotInTransfer = snapshot
        transferOffsetBytes = 0
        isChunkInFlight = false
    }

    fun onChunkSent() {
        isChunkInFlight = true
    }

    /** Updates the offset of the next chunk that the follower expects. */
    fun onChunkReply(offset: Long) {
        val size = snapshotInTransfer?.state?.size ?: return
        // A duplicate reply for the chunk in flight must not trigger another send of that chunk.
        val isDuplicate = isChunkInFlight && offset == transferOffsetBytes && offset > 0
        if (offset > size || isDuplicate) return
        transferOffsetBytes = offset
        isChunkInFlight = false
        stalledHeartbeats = 0
    }

    private fun probe(index: Long) {
        nextIndex = index
        isProbing = true
        isPaused = false
        inFlight.clear()
    }

    private companion object {
        /** 4 heartbeats of 150 ms exceed the round trip between regions (110 ms) and the sync of a slow disk. */
        const val LOST_AFTER_HEARTBEATS = 4
    }
}
