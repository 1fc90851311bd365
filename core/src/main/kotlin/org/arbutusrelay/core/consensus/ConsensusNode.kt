package org.arbutusrelay.core.consensus

import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.AppendReply
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random

/**
 * One replica of a replicated log, implemented as a deterministic state machine without I/O.
 *
 * The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote, leader lease,
 * learners, snapshots, single-step voter changes and leadership transfer. A replica processes vote requests even when
 * it is not in its own voter set, but becomes a candidate only while it is. An identity that was never added to the
 * group is in no voter set, so it takes no part in elections.
 *
 * Not thread-safe. [step] throws [IllegalStateException] when log safety is violated; the replica must not be used
 * after that.
 */
public class ConsensusNode(
    public val config: ConsensusConfig,
    durable: DurableState,
    random: Random,
    nowMs: Long,
    invariants: Invariants = Invariants(),
) {
    private val state = NodeState(config, durable, random, invariants, nowMs)
    private val replication = Replication(state)
    private val transfer = LeadershipTransfer(state, replication)
    private val election = Election(state) {
        transfer.reset()
        replication.startTerm()
    }
    private val followerReplication = FollowerReplication(state)
    private val recovery = MajorityRecovery(state)

    public val role: ConsensusRole get() = state.role
    public val term: Long get() = state.term

    /** Leader of the current term, or null when it is unknown. */
    public val leader: String? get() = state.leader
    public val commitIndex: Long get() = state.commitIndex
    public val lastIndex: Long get() = state.log.lastIndex

    /** Last index that the latest snapshot includes. */
    public val snapshotIndex: Long get() = state.log.snapshot.lastIndex

    /** Size of the latest snapshot in bytes. */
    public val snapshotBytes: Int get() = state.log.snapshot.state.size

    /** Latest voter set in the log, committed or not. */
    public val voters: List<String> get() = state.log.voters

    /**
     * True while this replica cannot rely on being a voter: its log does not name it, or no leader contacts it. It must
     * then ask the leader to be added, which has no effect if it is a voter.
     */
    public val isMembershipUncertain: Boolean get() = !state.isVoter || state.isLeaderSilent

    /** Returns the term of the entry at [index], or null when the entry is trimmed or does not exist. */
    public fun termAt(index: Long): Long? = state.log.termAt(index)

    /** Returns the size of the command at [index] in bytes, or 0 when the entry is trimmed or does not exist. */
    public fun bytesAt(index: Long): Int = state.log.bytesAt(index)

    /** Returns true while this replica is a leader with a committed entry of its term and no other can be elected. */
    public fun isLeaseHeld(nowMs: Long): Boolean = nowMs < leaseUntilMs(nowMs)

    /** Returns when the lease expires without further acknowledgements, or [Long.MIN_VALUE] when it is not held. */
    public fun leaseUntilMs(nowMs: Long): Long {
        val isEligible = state.role == ConsensusRole.LEADER && !state.lease.isReleased
        val isTermCommitted = state.log.termAt(state.commitIndex) == state.term
        return if (isEligible && isTermCommitted) state.lease.validUntilMs(state.log.voters, nowMs) else Long.MIN_VALUE
    }

    /**
     * Returns a time before which no other replica committed an entry that is not applied or to be applied here.
     *
     * Null unless this replica is a leader with a committed entry of its term.
     *
     * It is the send time of the latest round that a majority has acknowledged in this term: a majority that commits
     * entries of a later term includes a voter that no longer acknowledges rounds of this one. The entries up to
     * [commitIndex] must be applied before the time is used. A leadership transfer does not affect it.
     */
    public fun confirmedMs(): Long? {
        val isTermCommitted = state.log.termAt(state.commitIndex) == state.term
        if (state.role != ConsensusRole.LEADER || !isTermCommitted) return null
        return state.lease.quorumSentMs(state.log.voters, state.nowMs).takeIf { it > LeaderLease.NEVER_MS }
    }

    /** Processes [event] at the monotonic time [nowMs] and returns the effects to execute in order. */
    public fun step(event: ConsensusEvent, nowMs: Long): List<ConsensusEffect> {
        state.nowMs = maxOf(state.nowMs, nowMs)
        when (event) {
            is ConsensusEvent.Tick -> onTick()

            is ConsensusEvent.Receive -> onMessage(event.message)

            is ConsensusEvent.Propose -> onPropose(event.commands)

            is ConsensusEvent.Persisted -> onPersisted(event.id)

            is ConsensusEvent.SnapshotTaken -> onSnapshotTaken(event)

            is ConsensusEvent.TransferLeadership -> transfer.start(event.target)

            is ConsensusEvent.RemoveLostVoter ->
                state.outbox.emit(ConsensusEffect.Recovered(event.lost, recovery.remove(event.lost)))

            is ConsensusEvent.SetLearners -> replication.learners = event.learners
        }
        return state.outbox.flush(state.log.lastIndex, state.nowMs)
    }

    private fun onTick() {
        election.onTick()
        if (state.role == ConsensusRole.LEADER) transfer.onTick()
        if (state.role == ConsensusRole.LEADER) replication.onTick()
    }

    private fun onMessage(message: ConsensusMessage) {
        if (message.group != config.group || message.to != config.self) return
        recovery.onMessage(message.from)
        message.voteRequest?.let { election.onVoteRequest(message, it) }
        message.voteReply?.let { election.onVoteReply(message, it) }
        message.appendRequest?.let { followerReplication.onAppendRequest(message, it) }
        message.snapshotRequest?.let { followerReplication.onSnapshotRequest(message, it) }
        message.appendReply?.let { onAppendReply(message, it) }
        message.timeoutNow?.let { if (transfer.isAccepted(message, it)) election.startElection(isTransfer = true) }
    }

    private fun onAppendReply(message: ConsensusMessage, reply: AppendReply) {
        if (message.term > state.term) return state.becomeFollower(message.term, null)
        if (message.term < state.term || state.role != ConsensusRole.LEADER) return
        replication.onAppendReply(message, reply)
        if (state.role == ConsensusRole.LEADER) transfer.sendWhenCaughtUp()
    }

    private fun onPropose(commands: List<ReplicatedCommand>) {
        val refusal = when {
            state.role != ConsensusRole.LEADER -> ProposalRefusal.NOT_LEADER
            transfer.isInProgress -> ProposalRefusal.TRANSFER_IN_PROGRESS
            !areVoterChangesAllowed(commands) -> ProposalRefusal.VOTER_CHANGE_NOT_ALLOWED
            else -> null
        }
        state.outbox.emit(ConsensusEffect.Proposed(state.log.lastIndex + 1, state.term, refusal))
        if (refusal == null) replication.append(commands)
    }

    private fun areVoterChangesAllowed(commands: List<ReplicatedCommand>): Boolean {
        val changes = commands.mapNotNull { it.voterChange }
        if (changes.isEmpty()) return true
        val oldVoters = state.log.voters.toSet()
        val newVoters = changes.first().voters.toSet()
        val added = newVoters - oldVoters
        // Until an entry of this term is committed, a voter change of an earlier leader may still be committed, and the
        // majorities of two concurrent changes need not intersect.
        val isVoterSetCommitted = state.log.votersIndex <= state.commitIndex &&
            state.log.termAt(state.commitIndex) == state.term
        val isSingleStep = changes.size == 1 && newVoters.size == changes.first().voters.size &&
            added.size + (oldVoters - newVoters).size == 1 && newVoters.isNotEmpty()
        return isVoterSetCommitted && isSingleStep && added.all(replication::isCaughtUp)
    }

    private fun onPersisted(id: Long) {
        state.onPersisted(id)
        election.onPersisted(id)
        if (state.role == ConsensusRole.LEADER) replication.advanceCommit()
    }

    private fun onSnapshotTaken(event: ConsensusEvent.SnapshotTaken) {
        if (event.index <= state.log.snapshot.lastIndex || event.index > state.commitIndex) return
        val term = state.log.termAt(event.index) ?: return
        val snapshot = ConsensusSnapshot(event.index, term, state.log.votersAt(event.index), event.state)
        val trimTo = state.log.trimIndex(event.index)
        state.log.compact(snapshot, trimTo)
        state.outbox.writeSnapshot(snapshot, trimTo)
    }
}
