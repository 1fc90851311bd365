package org.arbutusrelay.core.consensus

/** What the leader knows about one follower or learner, and how much it may send to it. */
internal class FollowerProgress(nextIndex: Long, private val config: ConsensusConfig) {
    var nextIndex: Long = nextIndex
        private set

    /** Highest index known to be synced by the follower. */
    var matchIndex: Long = 0
        private set
    private val inFlight = ArrayDeque<Long>()
    private var isProbing = true
    private var isPaused = false
    private var stalledHeartbeats = 0

    /** The snapshot being sent, or null. */
    var transfer: ConsensusSnapshot? = null
        private set
    var transferOffset = 0L
        private set
    private var isChunkInFlight = false

    fun canSend(): Boolean = if (isProbing) !isPaused else inFlight.size < config.maxInFlight

    fun canSendChunk(): Boolean = transfer != null && !isChunkInFlight

    fun onSent(lastIndex: Long) {
        if (isProbing) {
            isPaused = true
        } else {
            inFlight += lastIndex
            nextIndex = lastIndex + 1
        }
    }

    /** Takes requests that stay unanswered for several heartbeats as lost. */
    fun onHeartbeat() {
        if (!isPaused && inFlight.isEmpty() && !isChunkInFlight) {
            stalledHeartbeats = 0
            return
        }
        if (++stalledHeartbeats < STALLED_HEARTBEATS) return
        stalledHeartbeats = 0
        isChunkInFlight = false
        probe(matchIndex + 1)
    }

    fun onMatch(index: Long) {
        if (index > matchIndex) stalledHeartbeats = 0
        matchIndex = maxOf(matchIndex, index)
        transfer?.let {
            if (matchIndex < it.lastIndex) return
            transfer = null
            isChunkInFlight = false
        }
        while (inFlight.isNotEmpty() && inFlight.first() <= matchIndex) inFlight.removeFirst()
        nextIndex = if (isProbing) matchIndex + 1 else maxOf(nextIndex, matchIndex + 1)
        isProbing = false
        isPaused = false
    }

    fun onMismatch(hint: Long) {
        if (transfer == null) probe(minOf(hint + 1, nextIndex - 1).coerceAtLeast(matchIndex + 1))
    }

    fun startTransfer(snapshot: ConsensusSnapshot) {
        transfer = snapshot
        transferOffset = 0
        isChunkInFlight = false
    }

    fun onChunkSent() {
        isChunkInFlight = true
    }

    /** Notes the position that the follower wants next. */
    fun onChunkReply(offset: Long) {
        val size = transfer?.state?.size ?: return
        // A repeated reply for the chunk in flight must not send that chunk again.
        val isRepeated = isChunkInFlight && offset == transferOffset && offset > 0
        if (offset > size || isRepeated) return
        transferOffset = offset
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
        /** Four heartbeats of 150 ms exceed the round trip between regions (110 ms) and the sync of a slow disk. */
        const val STALLED_HEARTBEATS = 4
    }
}
