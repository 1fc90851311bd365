package org.arbutusrelay.core.membership

import org.arbutusrelay.core.membership.MembershipTimes.NEVER
import org.arbutusrelay.schema.message.Heartbeat
import org.arbutusrelay.schema.message.HostPulse
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.SuspectState

/** A host whose link is up, and what it was told on that link. */
internal class Neighbour(val hostName: String, val region: String, val availabilityZone: String, val epoch: Long) {
    val digests = DigestStream()
    var suspectCursor = 0L

    /** When the neighbour sent its last heartbeat, which subscribes it to digests. */
    var heardMs: Long = NEVER

    private var toldHost: HostState? = null
    private var toldAtMs = NEVER
    private val toldServers = HashMap<String, Pair<Long, Long>>()

    /** Forgets what was told, after the link refused a frame. */
    fun reset() {
        digests.reset()
        toldHost = null
        toldServers.clear()
        suspectCursor = 0
    }

    /** Builds the next heartbeat: the full state when it changed, and otherwise only load and renewals. */
    fun heartbeat(
        self: HostState,
        servers: List<BackendServerEntry>,
        suspects: List<SuspectState>,
        nowMs: Long,
    ): LinkFrame {
        val (known, new) = renewed(servers).partition { toldServers[it.state.name]?.first == it.change }
        val (full, loads) = split(new.map { it.state.copy(leaseMs = it.leaseLeftMs(nowMs)) }, known)
        servers.forEach { toldServers[it.state.name] = it.change to it.renewals }
        // After a pause the receiver may have removed this host, so that a pulse would mean nothing to it.
        val isKnown = nowMs - toldAtMs < PAUSE_MS && toldHost?.copy(loadPermille = self.loadPermille) == self
        toldAtMs = nowMs
        if (isKnown && full.isEmpty() && suspects.isEmpty()) {
            return LinkFrame(hostPulse = HostPulse(self.version, self.loadPermille, loads))
        }
        toldHost = self
        return LinkFrame(heartbeat = Heartbeat(self, full, suspects, loads))
    }

    private fun renewed(servers: List<BackendServerEntry>) =
        servers.filter { toldServers[it.state.name] != it.change to it.renewals }

    /** A new aggregator must not start the lease anew for a server that announced itself a while ago. */
    private fun BackendServerEntry.leaseLeftMs(nowMs: Long) =
        ((sources[MembershipNode.OWN] ?: nowMs) - nowMs).coerceAtLeast(0)

    private companion object {
        const val PAUSE_MS = 5_000L
    }
}
