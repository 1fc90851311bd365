package org.arbutusrelay.core.consensus

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.LogEntry
import kotlin.random.Random

/** State shared by the components of a [ConsensusNode]. */
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

    /** Last index that is synced to the disk of this replica. */
    var durableIndex = log.lastIndex
        private set

    /**
     * Time of the last message from a leader. A start counts as contact, because the replica may have acknowledged a
     * heartbeat just before it stopped, and the lease of the leader relies on that acknowledgement.
     */
    var leaderContactMs = nowMs
        private set

    /** Latest term with a known leader, or the term at the start of this replica. */
    var leaderTerm = durable.term
        private set
    var electionDeadlineMs = nowMs + randomTimeoutMs()
        private set

    val isVoter: Boolean get() = config.self in log.voters

    /**
     * True while no leader contacts this replica. The group may have removed it then, as the leader that replicates a
     * removal no longer sends anything to the removed replica.
     */
    val isLeaderSilent: Boolean
        get() = role != ConsensusRole.LEADER && nowMs - leaderContactMs > config.electionTimeoutMaxMs

    /**
     * Time to allow for the vote of another replica, estimated from the disk of this one. A vote takes up to two syncs,
     * as it may have to wait for the end of a sync that is in progress.
     */
    val voteSyncMs: Long get() = minOf(2 * outbox.syncMs(nowMs), maxVoteSyncMs)

    /** Bounds the time for which a disk that hangs delays elections. */
    val maxVoteSyncMs: Long get() = MAX_VOTE_TIMEOUTS * config.electionTimeoutMaxMs

    fun quorum(): Int = log.voters.size / 2 + 1

    /** Returns true while a vote for another candidate could violate the lease of a leader. */
    fun isVoteRefused(): Boolean = when (role) {
        ConsensusRole.LEADER -> nowMs < lease.validUntilMs(log.voters, nowMs)
        else -> nowMs - leaderContactMs < config.electionTimeoutMinMs
    }

    fun onLeaderContact() {
        leaderContactMs = nowMs
        resetElectionDeadline()
    }

    fun resetElectionDeadline() {
        electionDeadlineMs = nowMs + randomTimeoutMs()
    }

    fun recordVote(newTerm: Long, candidate: String?) {
        val isAllowed = newTerm > term || (newTerm == term && (votedFor == null || votedFor == candidate))
        verify(isAllowed) { "vote for $candidate in term $newTerm after $votedFor in term $term" }
        if (newTerm == term && votedFor == candidate) return
        term = newTerm
        votedFor = candidate
        outbox.writeVote(TermAndVote(term, votedFor))
    }

    fun changeRole(newRole: ConsensusRole, newLeader: String?, ended: LeadershipEnd? = null) {
        if (newLeader != null) leaderTerm = term
        if (role == newRole && leader == newLeader) return
        role = newRole
        leader = newLeader
        outbox.emit(ConsensusEffect.RoleChange(role, term, leader, ended))
    }

    /** Follows in [newTerm]; [cause] tells why a leader does, unless it is handing over. */
    fun becomeFollower(
        newTerm: Long,
        newLeader: String?,
        cause: LeadershipEndCause = LeadershipEndCause.NEWER_TERM,
    ) {
        val endCause = if (lease.isReleased) LeadershipEndCause.HANDED_OVER else cause
        val ended = if (role == ConsensusRole.LEADER) LeadershipEnd(term, endCause) else null
        if (newTerm > term) recordVote(newTerm, null)
        if (role == ConsensusRole.LEADER) resetElectionDeadline()
        changeRole(ConsensusRole.FOLLOWER, newLeader, ended)
    }

    fun append(entry: LogEntry) {
        log.append(entry)
        outbox.writeEntry(entry)
    }

    fun truncateFrom(index: Long) {
        verify(index > commitIndex) { "truncation from $index would remove committed entries up to $commitIndex" }
        log.truncateFrom(index)
        durableIndex = minOf(durableIndex, index - 1)
        outbox.writeTruncation(index)
    }

    fun commitTo(index: Long) {
        if (index <= commitIndex) return
        verify(index <= log.lastIndex) { "commit index $index is beyond the last entry ${log.lastIndex}" }
        val committed = log.slice(commitIndex + 1, index)
        commitIndex = index
        outbox.emit(ConsensusEffect.Apply(committed))
    }

    /** Installs a snapshot that is ahead of the commit index; keeps the log after it when the log matches. */
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
        outbox.onSynced(id, nowMs)?.let { durableIndex = it }
    }

    fun message(to: String): ConsensusMessage = ConsensusMessage(config.group, config.self, to, term)

    fun verify(isValid: Boolean, detail: () -> String) {
        // A replica that continued after a violation could lose committed entries, so it always stops.
        check(invariants.check(Guarantee.LOG_SAFETY, isValid) { "${config.group}/${config.self}: ${detail()}" }, detail)
    }

    private fun randomTimeoutMs() = random.nextLong(config.electionTimeoutMinMs, config.electionTimeoutMaxMs + 1)

    private companion object {
        const val MAX_VOTE_TIMEOUTS = 3L
    }
}
