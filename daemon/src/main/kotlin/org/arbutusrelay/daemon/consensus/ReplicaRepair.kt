package org.arbutusrelay.daemon.consensus

/** Decides at the leader which replicas learn the log, and which voter to replace next. */
internal class ReplicaRepair(
    private val stateHosts: () -> Set<String>,
    private val maxVoters: Int,
    private val replaceAfterMs: Long? = null,
) {
    private val announced = HashMap<String, Announcement>()
    private val reachedMs = HashMap<String, Long>()

    /** Notes that the replica [identity] runs and is no voter yet. */
    fun onAnnouncement(identity: String, nowMs: Long) {
        val host = ReplicaAddress.hostOf(identity)
        if (host in stateHosts()) announced[host] = Announcement(identity, nowMs)
    }

    /** Notes which of the hosts of [voters] have a link to this one. */
    fun onReachable(hosts: Set<String>, voters: List<String>, nowMs: Long) {
        reachedMs.keys.retainAll(voters.toSet())
        for (voter in voters) {
            if (ReplicaAddress.hostOf(voter) in hosts) reachedMs[voter] = nowMs else reachedMs.putIfAbsent(voter, nowMs)
        }
    }

    fun learners(voters: List<String>, nowMs: Long): Set<String> {
        announced.values.removeIf { nowMs - it.atMs > LIFETIME_MS }
        return announced.values.map { it.identity }.toSet() - voters.toSet()
    }

    /**
     * Returns the voters after the next single step, or null when nothing is to be done.
     *
     * The old identity of a host that announces a new one is removed first: its disk is gone, so it only raises the
     * number of replicas that a majority needs. The same holds for a voter that stays out of reach while a new replica
     * waits; should it come back, it announces itself and is added again.
     */
    fun nextVoters(voters: List<String>, nowMs: Long): List<String>? {
        val learners = learners(voters, nowMs)
        if (learners.isEmpty()) return null
        val hosts = learners.map(ReplicaAddress::hostOf).toSet()
        val stale = voters.firstOrNull { ReplicaAddress.hostOf(it) in hosts } ?: unreachable(voters, nowMs)
        if (stale != null) return (voters - stale).takeIf { it.isNotEmpty() }
        return learners.minOrNull()?.takeIf { voters.size < maxVoters }?.let { voters + it }
    }

    private fun unreachable(voters: List<String>, nowMs: Long): String? {
        val limitMs = replaceAfterMs ?: return null
        return voters.firstOrNull { nowMs - (reachedMs[it] ?: nowMs) > limitMs }
    }

    private class Announcement(val identity: String, val atMs: Long)

    private companion object {
        /** Several announcement periods, and short enough to forget a replica that went away. */
        const val LIFETIME_MS = 3_000L
    }
}
