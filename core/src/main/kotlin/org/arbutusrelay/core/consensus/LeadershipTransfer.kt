package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.TimeoutNow

/** Hands leadership to a voter that has the whole log. */
internal class LeadershipTransfer(private val state: NodeState, private val replication: Replication) {
    private var target: String? = null
    private var deadlineMs = 0L

    val isInProgress: Boolean get() = target != null

    fun reset() {
        target = null
    }

    fun start(wanted: String?) {
        if (state.role != ConsensusRole.LEADER || isInProgress) return
        val others = state.log.voters.filter { it != state.config.self && (wanted == null || it == wanted) }
        target = others.maxByOrNull(replication::matchIndex) ?: return
        deadlineMs = state.nowMs + state.config.electionTimeoutMinMs
        sendWhenCaughtUp()
    }

    fun onTick() {
        if (!isInProgress || state.nowMs < deadlineMs) return
        reset()
        // A released lease cannot be held again in this term, so a leader without one makes way for an election.
        if (state.lease.isReleased) state.becomeFollower(state.term, null)
    }

    /** Asks the target to take over once it has the whole log. */
    fun sendWhenCaughtUp() {
        val name = target ?: return
        if (state.lease.isReleased || replication.matchIndex(name) < state.log.lastIndex) return
        // The target's election ignores the lease, so the lease ends before the request can arrive.
        state.lease.release()
        val request = TimeoutNow(state.log.lastIndex)
        state.outbox.emit(ConsensusEffect.Send(state.message(name).copy(timeoutNow = request)))
    }

    fun isAccepted(message: ConsensusMessage, request: TimeoutNow): Boolean = message.term == state.term &&
        state.role == ConsensusRole.FOLLOWER && state.isVoter && state.log.lastIndex >= request.transferIndex
}
