package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.AppendRequest
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.SnapshotRequest

/** Leader side of replication: sends entries and snapshots, and advances the commit index. */
internal class Replication(private val state: NodeState) {
    private val progress = LinkedHashMap<String, FollowerProgress>()
    private var nextHeartbeatMs = 0L
    private var termStartMs = 0L
    var learners: Set<String> = emptySet()
        set(value) {
            field = value
            if (state.role == ConsensusRole.LEADER) updatePeers()
        }

    fun matchIndex(peer: String): Long = progress[peer]?.matchIndex ?: 0

    fun isCaughtUp(peer: String): Boolean =
        progress.containsKey(peer) && matchIndex(peer) + state.config.catchUpEntries >= state.commitIndex

    fun startTerm() {
        progress.clear()
        updatePeers()
        state.lease.startTerm()
        termStartMs = state.nowMs
        // Entries of earlier terms are committed only together with an entry of this term.
        append(listOf(ReplicatedCommand()))
        heartbeat()
    }

    fun append(commands: List<ReplicatedCommand>) {
        for (command in commands) {
            state.append(LogEntry(state.log.lastIndex + 1, state.term, command))
            if (command.voterChange != null) updatePeers()
        }
        progress.keys.toList().forEach(::sendEntries)
    }

    fun onTick() {
        val quorumMs = maxOf(state.lease.quorumSentMs(state.log.voters, state.nowMs), termStartMs)
        // A leader without a quorum steps down, so that clients look for another leader.
        if (state.nowMs - quorumMs > state.config.electionTimeoutMaxMs) {
            return state.becomeFollower(state.term, null, LeadershipEndCause.NO_MAJORITY)
        }
        if (state.nowMs >= nextHeartbeatMs) heartbeat()
    }

    fun onAppendReply(message: ConsensusMessage, reply: AppendReply) {
        val peer = progress[message.from] ?: return
        state.lease.onReply(message.from, reply.round)
        reply.snapshotOffsetBytes?.let(peer::onChunkReply)
        when {
            reply.isSuccess -> {
                state.verify(reply.matchIndex <= state.log.lastIndex) {
                    "${message.from} acknowledged ${reply.matchIndex}, beyond the last entry ${state.log.lastIndex}"
                }
                peer.onMatch(reply.matchIndex)
                advanceCommit()
            }

            reply.snapshotOffsetBytes == null -> peer.onMismatch(reply.matchIndex)
        }
        if (state.role == ConsensusRole.LEADER) sendEntries(message.from)
    }

    /** Commits the entries that a majority has synced, provided that the last of them is of this term. */
    fun advanceCommit() {
        val matchIndexes = state.log.voters.map { if (it == state.config.self) state.durableIndex else matchIndex(it) }
        val index = matchIndexes.sortedDescending().getOrNull(state.log.voters.size / 2) ?: return
        if (index <= state.commitIndex || state.log.termAt(index) != state.term) return
        state.commitTo(index)
        val isRemoved = !state.isVoter && state.log.votersIndex <= state.commitIndex
        if (isRemoved) {
            heartbeat()
            state.becomeFollower(state.term, null, LeadershipEndCause.REMOVED)
        }
    }

    private fun heartbeat() {
        nextHeartbeatMs = state.nowMs + state.config.heartbeatMs
        state.lease.startRound(state.nowMs)
        for ((name, peer) in progress) {
            peer.onHeartbeat()
            // Without a known previous entry, the request starts at index 0, which matches every log.
            val previous = if (state.log.termAt(peer.nextIndex - 1) == null) 0 else peer.nextIndex - 1
            sendAppend(name, if (peer.snapshotInTransfer == null) previous else 0, emptyList())
            sendEntries(name)
        }
    }

    private fun sendEntries(name: String) {
        val peer = progress[name] ?: return
        if (peer.snapshotInTransfer == null && state.log.termAt(peer.nextIndex - 1) == null) {
            peer.startTransfer(state.log.snapshot)
        }
        if (peer.snapshotInTransfer != null) return sendChunk(name, peer)
        while (peer.nextIndex <= state.log.lastIndex && peer.canSend()) {
            val entries = state.log.batch(peer.nextIndex)
            sendAppend(name, peer.nextIndex - 1, entries)
            peer.onSent(entries.last().index)
        }
    }

    private fun sendAppend(name: String, previousIndex: Long, entries: List<LogEntry>) {
        val previousTerm = if (previousIndex == 0L) 0 else checkNotNull(state.log.termAt(previousIndex))
        val request = AppendRequest(previousIndex, previousTerm, state.commitIndex, state.lease.round, entries)
        send(state.message(name).copy(appendRequest = request))
    }

    private fun sendChunk(name: String, peer: FollowerProgress) {
        val snapshot = peer.snapshotInTransfer ?: return
        if (!peer.canSendChunk()) return
        val from = peer.transferOffsetBytes.toInt()
        val to = minOf(snapshot.state.size, from + state.config.snapshotChunkBytes)
        val request = SnapshotRequest(
            lastIndex = snapshot.lastIndex,
            lastTerm = snapshot.lastTerm,
            voters = snapshot.voters,
            offsetBytes = from.toLong(),
            isLast = to == snapshot.state.size,
            round = state.lease.round,
            state = snapshot.state.copyOfRange(from, to),
        )
        send(state.message(name).copy(snapshotRequest = request))
        peer.onChunkSent()
    }

    private fun send(message: ConsensusMessage) = state.outbox.emit(ConsensusEffect.Send(message))

    private fun updatePeers() {
        val peers = state.log.voters.toSet() + learners - state.config.self
        progress.keys.retainAll(peers)
        for (peer in peers) {
            progress.getOrPut(peer) { FollowerProgress(state.log.lastIndex + 1, state.config) }
        }
    }
}
