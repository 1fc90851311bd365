package org.arbutusrelay.core.consensus

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry
import kotlin.random.Random

/** State that the parts of a [ConsensusNode] share. */
internal class NodeState(
    val config: ConsensusConfig,
    durable: DurableState,
    private val random: Random,
    private val invariants: Invariants,
    var nowMs: Long,
) {
    val log = ReplicatedLog(durable, config)
    val outbox = Outbox()
    val lease = LeaderLease(config)
    var term = durable.term
        private set
    var votedFor = durable.votedFor
        private set
    var role = ConsensusRole.FOLLOWER
        private set
    var leader: String? = null
        private set
    var commitIndex = log.snapshot.lastIndex
        private set

    /** Last index that is synced to this replica's disk. */
    var durableIndex = log.lastIndex
        private set

    /**
     * When this replica last heard from a leader. A start counts as contact, because the replica may have acknowledged
     * a heartbeat just before it stopped, and the leader's lease relies on that.
     */
    private var leaderContactMs = nowMs
    var electionDeadlineMs = nowMs + randomTimeoutMs()
        private set

    val isVoter: Boolean get() = config.self in log.voters

    fun quorum(): Int = log.voters.size / 2 + 1

    /** True while a vote for another candidate could break a leader's lease. */
    fun isVoteRefused(): Boolean = when (role) {
        ConsensusRole.LEADER -> nowMs < lease.heldUntilMs(log.voters, nowMs)
        else -> nowMs - leaderContactMs < config.electionTimeoutMinMs
    }

    fun onLeaderContact() {
        leaderContactMs = nowMs
        resetElectionDeadline()
    }

    fun resetElectionDeadline() {
        electionDeadlineMs = nowMs + randomTimeoutMs()
    }

    fun vote(newTerm: Long, candidate: String?) {
        val isLegal = newTerm > term || (newTerm == term && (votedFor == null || votedFor == candidate))
        verify(isLegal) { "vote for $candidate in term $newTerm after $votedFor in term $term" }
        if (newTerm == term && votedFor == candidate) return
        term = newTerm
        votedFor = candidate
        outbox.writeVote(TermAndVote(term, votedFor))
    }

    fun changeRole(newRole: ConsensusRole, newLeader: String?) {
        if (role == newRole && leader == newLeader) return
        role = newRole
        leader = newLeader
        outbox.emit(ConsensusEffect.RoleChange(role, term, leader))
    }

    fun becomeFollower(newTerm: Long, newLeader: String?) {
        if (newTerm > term) vote(newTerm, null)
        if (role == ConsensusRole.LEADER) resetElectionDeadline()
        changeRole(ConsensusRole.FOLLOWER, newLeader)
    }

    fun append(entry: LogEntry) {
        log.append(entry)
        outbox.writeEntry(entry)
    }

    fun truncateFrom(index: Long) {
        verify(index > commitIndex) { "truncation from $index below the committed $commitIndex" }
        log.truncateFrom(index)
        durableIndex = minOf(durableIndex, index - 1)
        outbox.writeTruncation(index)
    }

    fun commitTo(index: Long) {
        if (index <= commitIndex) return
        verify(index <= log.lastIndex) { "commit of $index after the last entry ${log.lastIndex}" }
        val committed = log.slice(commitIndex + 1, index)
        commitIndex = index
        outbox.emit(ConsensusEffect.Apply(committed))
    }

    /** Replaces log and state by a snapshot that is ahead of the committed index. */
    fun install(snapshot: ConsensusSnapshot) {
        if (log.termAt(snapshot.lastIndex) == snapshot.lastTerm) {
            log.compact(snapshot, snapshot.lastIndex)
            outbox.writeSnapshot(snapshot, snapshot.lastIndex)
        } else {
            log.reset(snapshot)
            durableIndex = minOf(durableIndex, snapshot.lastIndex)
            outbox.writeSnapshot(snapshot, snapshot.lastIndex)
            outbox.writeTruncation(snapshot.lastIndex + 1)
        }
        commitIndex = snapshot.lastIndex
        outbox.emit(ConsensusEffect.Restore(snapshot))
    }

    fun onPersisted(id: Long) {
        outbox.onSynced(id)?.let { durableIndex = it }
    }

    fun message(to: String): ConsensusMessage = ConsensusMessage(config.group, config.self, to, term)

    fun verify(isHeld: Boolean, detail: () -> String) {
        // A replica that continued after such a violation could lose committed entries, so it stops either way.
        check(invariants.check(Guarantee.LOG_SAFETY, isHeld) { "${config.group}/${config.self}: ${detail()}" }, detail)
    }

    private fun randomTimeoutMs() = random.nextLong(config.electionTimeoutMinMs, config.electionTimeoutMaxMs + 1)
}
