package org.arbutusrelay.daemon.consensus

/** Plans voter changes on the leader: which replicas are learners, and which voter to add or remove next. */
internal class ReconfigurationPlanner(
    private val stateHosts: () -> Set<String>,
    private val maxVoters: Int,
    private val replaceAfterMs: Long? = null,
) {
    private val announcements = HashMap<String, Announcement>()
    private val lastUpMs = HashMap<String, Long>()

    /** Records that the replica [identity] is running and may not be a voter. */
    fun onAnnouncement(identity: String, nowMs: Long) {
        val host = ReplicaAddress.hostOf(identity)
        if (host in stateHosts()) announcements[host] = Announcement(identity, nowMs)
    }

    /** Records which of [voters] run on one of the reachable [hosts]. */
    fun onReachable(hosts: Set<String>, voters: List<String>, nowMs: Long) {
        lastUpMs.keys.retainAll(voters.toSet())
        for (voter in voters) {
            if (ReplicaAddress.hostOf(voter) in hosts) lastUpMs[voter] = nowMs else lastUpMs.putIfAbsent(voter, nowMs)
        }
    }

    fun learners(voters: List<String>, nowMs: Long): Set<String> {
        announcements.values.removeIf { nowMs - it.receivedMs > ANNOUNCEMENT_TTL_MS }
        return announcements.values.map { it.identity }.toSet() - voters.toSet()
    }

    /** Forgets when voters were reachable; called while another replica leads, because only the leader records it. */
    fun onFollower(): Unit = lastUpMs.clear()

    /**
     * Returns the voters after the next single change, or null when no change is needed.
     *
     * The old identity of a host that announces a new one is removed first: its disk is lost, so it only raises the
     * number of replicas that a majority requires. A voter that stays unreachable is removed only where that does not
     * lower the number of losses that the group survives: from an odd number of voters when a new replica takes its
     * place, and from an even number when none is available. A removed replica announces itself when it is back.
     */
    fun nextVoters(voters: List<String>, nowMs: Long): List<String>? {
        val learners = learners(voters, nowMs)
        val learnerHosts = learners.map(ReplicaAddress::hostOf).toSet()
        val replaced = voters.firstOrNull { ReplicaAddress.hostOf(it) in learnerHosts }
        val removable = replaced ?: firstUnreachable(voters, nowMs)?.takeIf { mayRemove(voters.size, learners.size) }
        if (removable != null) return (voters - removable).takeIf { it.isNotEmpty() }
        return learners.minOrNull()?.takeIf { voters.size < maxVoters }?.let { voters + it }
    }

    private fun mayRemove(voterCount: Int, learnerCount: Int): Boolean {
        val isEven = voterCount % 2 == 0
        return if (learnerCount == 0) isEven else !isEven || voterCount >= maxVoters
    }

    private fun firstUnreachable(voters: List<String>, nowMs: Long): String? {
        val timeoutMs = replaceAfterMs ?: return null
        return voters.firstOrNull { nowMs - (lastUpMs[it] ?: nowMs) > timeoutMs }
    }

    private class Announcement(val identity: String, val receivedMs: Long)

    private companion object {
        /** Several announcement intervals, yet short enough to drop a replica that has stopped. */
        const val ANNOUNCEMENT_TTL_MS = 3_000L
    }
}
