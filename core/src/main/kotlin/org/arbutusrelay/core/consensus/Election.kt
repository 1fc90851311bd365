package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.VoteReply
import org.arbutusrelay.schema.message.VoteRequest

/** Runs pre-votes and elections, and processes vote requests. */
internal class Election(private val state: NodeState, private val onElected: () -> Unit) {
    private val votes = HashSet<String>()
    private var ownVoteId = 0L
    private val hold = ElectionHold(state)

    fun onTick() {
        if (state.role == ConsensusRole.LEADER || state.nowMs < state.electionDeadlineMs + voteWaitMs()) return
        state.resetElectionDeadline()
        if (state.isVoter) startPreVote() else state.becomeFollower(state.term, null)
    }

    /** Starts an election in the next term; [isTransfer] is true when the leader requested it. */
    fun startElection(isTransfer: Boolean) {
        state.recordVote(state.term + 1, state.config.self)
        state.changeRole(ConsensusRole.CANDIDATE, null)
        state.resetElectionDeadline()
        votes.clear()
        hold.onVote(state.config.self)
        ownVoteId = state.outbox.nextId
        requestVotes(isPreVote = false, isTransfer)
    }

    fun onPersisted(id: Long) {
        // Like any other vote, the candidate's vote for itself counts only after it is synced.
        if (state.role == ConsensusRole.CANDIDATE && id >= ownVoteId) countVote(state.config.self)
    }

    fun onVoteRequest(message: ConsensusMessage, request: VoteRequest) {
        if (request.isPreVote) {
            val isGranted = !state.isVoteRefused() && !hold.isForOther(message.from) &&
                message.term >= state.term && isUpToDate(request)
            if (isGranted) hold.onPreVote(message.from)
            return reply(message.from, isPreVote = true, isGranted)
        }
        // A refused request must not raise the term either: that would depose a leader with a valid lease.
        if (message.term < state.term || (state.isVoteRefused() && !request.isTransfer)) {
            return reply(message.from, isPreVote = false, isGranted = false)
        }
        if (message.term > state.term) state.becomeFollower(message.term, null)
        val canVote = state.votedFor == null || state.votedFor == message.from
        val isGranted = canVote && state.role == ConsensusRole.FOLLOWER && isUpToDate(request)
        if (isGranted) {
            state.recordVote(message.term, message.from)
            state.resetElectionDeadline()
            hold.onVote(message.from)
        }
        reply(message.from, isPreVote = false, isGranted)
    }

    fun onVoteReply(message: ConsensusMessage, reply: VoteReply) {
        if (message.term > state.term) return state.becomeFollower(message.term, null)
        if (!reply.isGranted) return
        val isExpected = when (state.role) {
            ConsensusRole.PRE_CANDIDATE -> reply.isPreVote
            ConsensusRole.CANDIDATE -> !reply.isPreVote && message.term == state.term
            else -> false
        }
        if (isExpected) countVote(message.from)
    }

    /** Extends the timeout of a candidate on a slow disk, since a new election discards the votes on their way. */
    private fun voteWaitMs(): Long = when {
        state.role != ConsensusRole.CANDIDATE -> 0
        state.outbox.isSynced(ownVoteId) -> state.voteSyncMs
        else -> state.maxVoteSyncMs
    }

    private fun startPreVote() {
        state.changeRole(ConsensusRole.PRE_CANDIDATE, null)
        votes.clear()
        requestVotes(isPreVote = true, isTransfer = false)
        countVote(state.config.self)
    }

    private fun requestVotes(isPreVote: Boolean, isTransfer: Boolean) {
        val request = VoteRequest(isPreVote, state.log.lastIndex, state.log.lastTerm, isTransfer)
        state.log.voters.filter { it != state.config.self }.forEach {
            state.outbox.sendAfterSync(state.message(it).copy(voteRequest = request))
        }
    }

    private fun countVote(voter: String) {
        if (voter in state.log.voters) votes += voter
        if (votes.count { it in state.log.voters } < state.quorum()) return
        if (state.role == ConsensusRole.PRE_CANDIDATE) return startElection(isTransfer = false)
        state.changeRole(ConsensusRole.LEADER, state.config.self)
        onElected()
    }

    private fun reply(to: String, isPreVote: Boolean, isGranted: Boolean) {
        val reply = VoteReply(isPreVote, isGranted)
        state.outbox.sendAfterSync(state.message(to).copy(voteReply = reply))
    }

    private fun isUpToDate(request: VoteRequest): Boolean = request.lastLogTerm > state.log.lastTerm ||
        (request.lastLogTerm == state.log.lastTerm && request.lastLogIndex >= state.log.lastIndex)
}
