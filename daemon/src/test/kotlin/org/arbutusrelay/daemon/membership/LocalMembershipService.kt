package org.arbutusrelay.daemon.membership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.api.AnnouncementReply
import org.arbutusrelay.schema.api.EntryHost
import org.arbutusrelay.schema.api.EntryHostList
import org.arbutusrelay.schema.api.HostList
import org.arbutusrelay.schema.api.HostView
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.SuspectState
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Membership of a single host, with the backend servers that announce themselves to it. */
public class LocalMembershipService(
    private val clock: RelayClock,
    private val manifestNumber: () -> Long,
    private val self: () -> HostView,
) : MembershipService {
    private class Lease(val state: BackendServerState, val expiresAtMs: Long)

    private val leases = ConcurrentHashMap<String, Lease>()
    private val listeners = CopyOnWriteArrayList<MembershipListener>()

    @Volatile
    private var isLeaving = false

    override fun entryHosts(callerName: String): EntryHostList {
        val host = self().run { EntryHost(hostName, region, availabilityZone, address) }
        return EntryHostList(if (isLeaving) emptyList() else listOf(host), LIST_LIFETIME_MS, manifestNumber())
    }

    override fun hosts(): HostList = HostList(listOf(self().copy(isLeaving = isLeaving)))

    override fun announce(announcement: Announcement): Either<RelayError, AnnouncementReply> {
        var isStale = false
        leases.compute(announcement.name) { _, old ->
            isStale = old != null && old.state.incarnation == announcement.incarnation &&
                old.state.version > announcement.sequence
            if (isStale) old else Lease(announcement.toState(), clock.nowMs() + LEASE_MS)
        }
        if (isStale) return RelayError(ErrorKind.STALE_INCARNATION).left()
        listeners.forEach(MembershipListener::onChange)
        return AnnouncementReply(LEASE_MS, RENEW_AFTER_MS).right()
    }

    override fun availableBackendServers(): List<BackendServerState> =
        leases.values.filter { it.expiresAtMs > clock.nowMs() && !it.state.isLeaving }.map { it.state }

    override fun backendServers(): List<BackendServerState> = leases.values.map { lease ->
        lease.state.copy(leaseMs = (lease.expiresAtMs - clock.nowMs()).coerceAtLeast(0))
    }

    override fun regionSummaries(): Map<String, TimedSummary> = emptyMap()

    override fun reportSuspect(suspect: SuspectState): Unit = Unit

    override fun addListener(listener: MembershipListener) {
        listeners += listener
    }

    override fun startLeaving() {
        isLeaving = true
    }

    private fun Announcement.toState() = BackendServerState(
        name, service, region, availabilityZone, address, incarnation, sequence, capacity, models, adapters, role,
        running, queued, isLeaving, LEASE_MS,
    )

    private companion object {
        private const val LEASE_MS = 3_000L
        private const val RENEW_AFTER_MS = 1_000L
        private const val LIST_LIFETIME_MS = 30_000L
    }
}
