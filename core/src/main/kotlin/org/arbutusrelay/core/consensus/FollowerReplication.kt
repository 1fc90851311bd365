package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.AppendRequest
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.SnapshotRequest
import java.io.ByteArrayOutputStream

/** Follower side of replication: appends entries and installs snapshots. */
internal class FollowerReplication(private val state: NodeState) {
    private var pendingSnapshot: SnapshotRequest? = null
    private val receivedState = ByteArrayOutputStream()

    fun onAppendRequest(message: ConsensusMessage, request: AppendRequest) {
        if (!acceptLeader(message)) return reply(message.from, false, 0, request.round)
        val matchIndex = request.previousIndex + request.entries.size
        val log = state.log
        // All entries up to the base of the log are committed, so they match the log of the leader.
        if (matchIndex > log.baseIndex) {
            val isBeforeBase = request.previousIndex < log.baseIndex
            if (!isBeforeBase && log.termAt(request.previousIndex) != request.previousTerm) {
                return reply(message.from, false, matchHint(request.previousIndex), request.round)
            }
            merge(request)
        }
        state.commitTo(minOf(request.commitIndex, matchIndex))
        reply(message.from, true, matchIndex, request.round)
    }

    fun onSnapshotRequest(message: ConsensusMessage, request: SnapshotRequest) {
        if (!acceptLeader(message)) return reply(message.from, false, 0, request.round)
        if (request.lastIndex <= state.commitIndex) {
            return reply(message.from, true, request.lastIndex, request.round)
        }
        appendChunk(request)
        val isComplete = request.isLast && request.offsetBytes + request.state.size == receivedState.size().toLong()
        if (!isComplete) return reply(message.from, false, 0, request.round, receivedState.size().toLong())
        state.install(
            ConsensusSnapshot(request.lastIndex, request.lastTerm, request.voters, receivedState.toByteArray()),
        )
        pendingSnapshot = null
        receivedState.reset()
        reply(message.from, true, request.lastIndex, request.round)
    }

    private fun acceptLeader(message: ConsensusMessage): Boolean {
        if (message.term < state.term) return false
        state.verify(message.term > state.term || state.role != ConsensusRole.LEADER) {
            "${message.from} claims to lead term ${message.term}, which this replica leads"
        }
        state.becomeFollower(message.term, message.from)
        state.onLeaderContact()
        return true
    }

    private fun merge(request: AppendRequest) {
        for (entry in request.entries) {
            if (entry.index <= state.log.baseIndex) continue
            val term = state.log.termAt(entry.index)
            if (term == entry.term) continue
            if (term != null) state.truncateFrom(entry.index)
            state.append(entry)
        }
    }

    private fun matchHint(previousIndex: Long): Long =
        if (previousIndex > state.log.lastIndex) state.log.lastIndex else state.log.indexBeforeTermAt(previousIndex)

    private fun appendChunk(request: SnapshotRequest) {
        val isSameSnapshot =
            pendingSnapshot?.let { it.lastIndex == request.lastIndex && it.lastTerm == request.lastTerm } ?: false
        if (!isSameSnapshot) {
            pendingSnapshot = request
            receivedState.reset()
        }
        if (request.offsetBytes == receivedState.size().toLong()) receivedState.write(request.state)
    }

    private fun reply(to: String, isSuccess: Boolean, matchIndex: Long, round: Long, offsetBytes: Long? = null) {
        val reply = AppendReply(isSuccess, matchIndex, round, offsetBytes)
        state.outbox.sendAfterSync(state.message(to).copy(appendReply = reply))
    }
}
