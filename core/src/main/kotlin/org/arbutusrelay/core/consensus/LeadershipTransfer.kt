package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.TimeoutNow

/** Transfers leadership to a voter that has the complete log. */
internal class LeadershipTransfer(private val state: NodeState, private val replication: Replication) {
    private var target: String? = null
    private var deadlineMs = 0L

    val isInProgress: Boolean get() = target != null

    fun reset() {
        target = null
    }

    fun start(requestedTarget: String?) {
        if (state.role != ConsensusRole.LEADER || isInProgress) return
        val others = state.log.voters.filter {
            it != state.config.self && (requestedTarget == null || it == requestedTarget)
        }
        target = others.maxByOrNull(replication::matchIndex) ?: return
        deadlineMs = state.nowMs + state.config.electionTimeoutMinMs
        sendWhenCaughtUp()
    }

    fun onTick() {
        if (!isInProgress || state.nowMs < deadlineMs) return
        reset()
        // The lease was released for the rest of this term, so the leader steps down and lets the voters elect another.
        if (state.lease.isReleased) state.becomeFollower(state.term, null)
    }

    /** Requests an immediate election by the target when it has the complete log. */
    fun sendWhenCaughtUp() {
        val targetName = target ?: return
        if (state.lease.isReleased || replication.matchIndex(targetName) < state.log.lastIndex) return
        // Votes for the target ignore the lease, so the lease must end before the request can arrive.
        state.lease.release()
        val request = TimeoutNow(state.log.lastIndex)
        state.outbox.emit(ConsensusEffect.Send(state.message(targetName).copy(timeoutNow = request)))
    }

    fun isAccepted(message: ConsensusMessage, request: TimeoutNow): Boolean = message.term == state.term &&
        state.role == ConsensusRole.FOLLOWER && state.isVoter && state.log.lastIndex >= request.transferIndex
}
