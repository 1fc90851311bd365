package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.AppendRequest
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.SnapshotRequest
import java.io.ByteArrayOutputStream

/** The follower's side of replication. */
internal class Following(private val state: NodeState) {
    private var incoming: SnapshotRequest? = null
    private val received = ByteArrayOutputStream()

    fun onAppendRequest(message: ConsensusMessage, request: AppendRequest) {
        if (!acceptLeader(message)) return reply(message.from, false, 0, request.round)
        val matchIndex = request.previousIndex + request.entries.size
        val log = state.log
        // Everything up to the base of the log is committed, and therefore matches.
        if (matchIndex > log.baseIndex) {
            val isBeforeBase = request.previousIndex < log.baseIndex
            if (!isBeforeBase && log.termAt(request.previousIndex) != request.previousTerm) {
                return reply(message.from, false, mismatchHint(request.previousIndex), request.round)
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
        collect(request)
        val isComplete = request.isLast && request.offsetBytes + request.state.size == received.size().toLong()
        if (!isComplete) return reply(message.from, false, 0, request.round, received.size().toLong())
        state.install(
            ConsensusSnapshot(request.lastIndex, request.lastTerm, request.voters, received.toByteArray()),
        )
        incoming = null
        received.reset()
        reply(message.from, true, request.lastIndex, request.round)
    }

    private fun acceptLeader(message: ConsensusMessage): Boolean {
        if (message.term < state.term) return false
        state.verify(message.term > state.term || state.role != ConsensusRole.LEADER) {
            "${message.from} leads term ${message.term} of this leader"
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

    private fun mismatchHint(previousIndex: Long): Long =
        if (previousIndex > state.log.lastIndex) state.log.lastIndex else state.log.indexBeforeTermAt(previousIndex)

    private fun collect(request: SnapshotRequest) {
        val isSame = incoming?.let { it.lastIndex == request.lastIndex && it.lastTerm == request.lastTerm } ?: false
        if (!isSame) {
            incoming = request
            received.reset()
        }
        if (request.offsetBytes == received.size().toLong()) received.write(request.state)
    }

    private fun reply(to: String, isSuccess: Boolean, matchIndex: Long, round: Long, offsetBytes: Long? = null) {
        val reply = AppendReply(isSuccess, matchIndex, round, offsetBytes)
        state.outbox.sendAfterSync(state.message(to).copy(appendReply = reply))
    }
}
