package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.QueuedPlacement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.schema.api.CacheEvents
import org.arbutusrelay.schema.message.BackendServerState

/** Selects the backend server with the fewest requests in flight; queues up to [maxQueued] requests by deadline. */
public class LocalRequestScheduler(private val region: String, private val maxQueued: Int) : RequestScheduler {
    private var table = RoutingTable(region, "")
    private val inFlight = HashMap<String, Int>()
    private val queue = ArrayList<RequestProfile>()
    private var attempts = 0L

    @Synchronized
    override fun updateTable(table: RoutingTable) {
        this.table = table
    }

    @Synchronized
    override fun submit(profile: RequestProfile, nowMs: Long): Placement {
        val placement = place(profile, nowMs)
        if (placement != Placement.Queued) return placement
        if (queue.size >= maxQueued) return Placement.Refused(RelayError(ErrorKind.OVERLOADED))
        queue += profile
        return Placement.Queued
    }

    override fun recordFirstByte(attempt: PlacedAttempt, nowMs: Long): Unit = Unit

    @Synchronized
    override fun complete(attempt: PlacedAttempt, result: AttemptResult, nowMs: Long): List<QueuedPlacement> {
        inFlight.merge(attempt.backendServer, -1, Int::plus)
        return poll(nowMs)
    }

    @Synchronized
    override fun poll(nowMs: Long): List<QueuedPlacement> {
        val decisions = queue.sortedBy(RequestProfile::deadlineMs).map { QueuedPlacement(it, place(it, nowMs)) }
            .filter { it.placement != Placement.Queued }
        val ids = decisions.map { it.profile.id }.toSet()
        queue.removeAll { it.id in ids }
        return decisions
    }

    @Synchronized
    override fun cancel(profile: RequestProfile): Boolean = queue.removeAll { it.id == profile.id }

    override fun tryRetry(profile: RequestProfile, nowMs: Long): Boolean =
        profile.triedBackendServers.size < MAX_ATTEMPTS && nowMs < profile.deadlineMs

    override fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt? = null

    override fun recordCacheEvents(backendServer: String, events: CacheEvents): Unit = Unit

    @Synchronized
    override fun loadPermille(): Long {
        val capacity = table.backendServers.sumOf { it.capacity }
        return if (capacity == 0L) 0 else (inFlight.values.sum() * PERMILLE / capacity).coerceIn(0, PERMILLE)
    }

    private fun place(profile: RequestProfile, nowMs: Long): Placement {
        if (nowMs >= profile.deadlineMs) return Placement.Refused(RelayError(ErrorKind.DEADLINE_UNREACHABLE))
        if (region !in profile.allowedRegions) return Placement.Refused(RelayError(ErrorKind.REGION_UNREACHABLE))
        val servers = table.backendServers.filter { it.service == profile.serviceName }
        if (servers.isEmpty()) return Placement.Refused(RelayError(ErrorKind.NO_BACKEND_SERVER))
        val server = servers.filter { hasCapacity(it, profile) }
            .minWithOrNull(compareBy({ it.name in profile.triedBackendServers }, { inFlight[it.name] ?: 0 }))
            ?: return Placement.Queued
        inFlight.merge(server.name, 1, Int::plus)
        return Placement.Run(
            PlacedAttempt(profile, server.name, server.incarnation, server.address, ++attempts, nowMs, region = region),
        )
    }

    private fun hasCapacity(server: BackendServerState, profile: RequestProfile): Boolean {
        val inFlightCount = inFlight[server.name] ?: 0
        return if (profile.isIsolated) inFlightCount == 0 else inFlightCount < server.capacity
    }

    private companion object {
        private const val MAX_ATTEMPTS = 3
        private const val PERMILLE = 1_000L
    }
}
