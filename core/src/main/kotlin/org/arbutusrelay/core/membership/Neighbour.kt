package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.schema.message.Heartbeat
import org.arbutusrelay.schema.message.HostPulse
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SuspectState

/** A host whose link is up, with the state that was sent to it on that link. */
internal class Neighbour(val hostName: String, val region: String, val availabilityZone: String, val epoch: Long) {
    val digests = DigestStream()
    var suspectCursor = 0L

    /** Arrival time of the neighbour's last heartbeat; heartbeats subscribe it to digests. */
    var lastHeartbeatMs: Long = NEVER

    private var sentHostState: HostState? = null
    private var lastSentMs = NEVER
    private val sentServers = HashMap<String, Pair<Long, Long>>()

    /** Clears the record of sent state, after the link rejected a frame. */
    fun reset() {
        digests.reset()
        sentHostState = null
        sentServers.clear()
        suspectCursor = 0
    }

    /** Builds the next heartbeat with the full state after a change, otherwise a pulse with only load and renewals. */
    fun heartbeat(
        self: HostState,
        servers: List<BackendServerEntry>,
        suspects: List<SuspectState>,
        nowMs: Long,
    ): LinkFrame {
        val (unchanged, changed) =
            renewedServers(servers).partition { sentServers[it.state.name]?.first == it.changeNumber }
        val (full, loads) =
            separateCollidingSlots(changed.map { it.state.copy(leaseMs = it.remainingLeaseMs(nowMs)) }, unchanged)
        servers.forEach { sentServers[it.state.name] = it.changeNumber to it.renewals }
        // After a longer silence the receiver may have removed this host and would ignore a pulse.
        val isStateCurrent = nowMs - lastSentMs < FULL_STATE_AFTER_MS &&
            sentHostState?.copy(loadPermille = self.loadPermille) == self
        lastSentMs = nowMs
        if (isStateCurrent && full.isEmpty() && suspects.isEmpty()) {
            return LinkFrame(hostPulse = HostPulse(self.version, self.loadPermille, loads))
        }
        sentHostState = self
        return LinkFrame(heartbeat = Heartbeat(self, full, suspects, loads))
    }

    private fun renewedServers(servers: List<BackendServerEntry>) =
        servers.filter { sentServers[it.state.name] != it.changeNumber to it.renewals }

    /** The remaining lease; a new aggregator must not restart the lease of a server that announced itself earlier. */
    private fun BackendServerEntry.remainingLeaseMs(nowMs: Long) =
        ((sources[MembershipNode.OWN_SOURCE] ?: nowMs) - nowMs).coerceAtLeast(0)

    private companion object {
        const val FULL_STATE_AFTER_MS = 5_000L
    }
}
