package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CallerLimits
import org.arbutusrelay.core.error.ErrorKind

/** Decides on queued requests: places those that have room and refuses those that waiting does not help. */
internal class QueueDecisions(
    private val snapshotOf: () -> SchedulerSnapshot,
    private val services: PerServiceState,
    private val callers: CallerLimits,
    private val deadlinePolicy: DeadlinePolicy,
    private val streamEnd: StreamEndPolicy,
    private val refusals: Refusals,
    private val local: LocalPlacement,
    private val remote: RemotePlacement,
    private val serverSelector: ServerSelector,
) {
    fun drain(
        queue: ServiceQueue,
        sink: MutableList<QueuedPlacement>,
        nowMs: Long,
        isExpiring: Boolean = false,
    ) {
        val firstIndex = sink.size
        if (isExpiring) {
            queue.expire({ expireQueued(it, nowMs) }, sink)
            val isLate = { profile: RequestProfile ->
                deadlinePolicy.willMissTarget(profile, services.timesOf(profile.serviceName), nowMs)
            }
            // A request that has become late is refused at once while no late request is served.
            val isVain = queue.isLateServiceVain
            queue.postpone(isLate, { forwardLate(it, nowMs) ?: if (isVain) refuseWaited(it, nowMs) else null }, sink)
        }
        val selectNext = { waiting: List<RequestProfile> ->
            val servers = snapshotOf().services[waiting[0].serviceName]
            if (servers == null) 0 else serverSelector.selectNext(waiting, servers, nowMs)
        }
        queue.drain(serverSelector.lookahead, selectNext, { placeQueued(it, nowMs) }, sink)
        for (index in firstIndex until sink.size) {
            if (sink[index].placement is Placement.Refused) release(sink[index].profile)
        }
    }

    private fun placeQueued(profile: RequestProfile, nowMs: Long): Placement? {
        refuseIfDeadlineMissed(profile, nowMs)?.let { return it }
        if (profile.isIsolated) return local.tryRunIsolated(profile, nowMs)?.let(Placement::Run)
        return local.tryRun(profile, nowMs)?.let(Placement::Run)
    }

    /** Forwards or refuses a queued request that cannot be served here or has exceeded its maximum wait. */
    private fun expireQueued(profile: RequestProfile, nowMs: Long): Placement? {
        refuseIfDeadlineMissed(profile, nowMs)?.let { return it }
        val current = snapshotOf()
        val servers = current.serversFor(profile)
        servers?.let { pool -> refuseIfClosedTooLong(profile, current, pool, nowMs)?.let { return it } }
        val isServed = servers != null
        val isMaxWaitExceeded = deadlinePolicy.isMaxWaitExceeded(profile, nowMs)
        if (isServed && !isMaxWaitExceeded) return null
        forwardLate(profile, nowMs)?.let { return it }
        return if (isServed) refuseWaited(profile, nowMs) else refusals.of(ErrorKind.NO_BACKEND_SERVER)
    }

    /** Refuses a request that has waited in vain, with its own time to return where the memory is known. */
    private fun refuseWaited(profile: RequestProfile, nowMs: Long): Placement {
        val servers = snapshotOf().serversFor(profile)
        if (servers == null || !servers.isMemoryKnown) return refusals.of(ErrorKind.OVERLOADED)
        val waitMs = deadlinePolicy.predictWaitMs(0, servers)
        return refusals.withRoom(RefusalCause.WAITED, ErrorKind.OVERLOADED, profile, servers, waitMs, nowMs)
    }

    /** Forwards a request that is late here to any region that can still serve it in time. */
    private fun forwardLate(profile: RequestProfile, nowMs: Long): Placement? = remote.tryForward(
        profile,
        snapshotOf(),
        services.timesOf(profile.serviceName),
        Double.POSITIVE_INFINITY,
        true,
        nowMs,
    )

    /** Refuses a queued request that would miss its deadline if it started now. */
    private fun refuseIfDeadlineMissed(profile: RequestProfile, nowMs: Long): Placement? {
        val willMissDeadline = deadlinePolicy.willMissDeadline(profile, services.timesOf(profile.serviceName), nowMs)
        if (willMissDeadline) return refusals.of(ErrorKind.DEADLINE_UNREACHABLE)
        return snapshotOf().serversFor(profile)?.let { refuseIfEndMissed(profile, it, nowMs) }
    }

    /** Refuses a stream that no server of this region is expected to complete before its deadline. */
    fun refuseIfEndMissed(profile: RequestProfile, servers: ServerPool, nowMs: Long): Placement? {
        val missMs = streamEnd.missMs(profile, servers, nowMs)?.toDouble() ?: return null
        val kind = ErrorKind.DEADLINE_UNREACHABLE
        return refusals.withRoom(RefusalCause.STREAM_END, kind, profile, servers, missMs, nowMs)
    }

    /**
     * Forwards or refuses a request that can't be sent in time, because all backend servers are paused or limited.
     *
     * Turns at limited servers are scarce, so that a request which would wait longer for one than requests may wait is
     * refused before it does.
     */
    fun refuseIfClosedTooLong(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServerPool,
        nowMs: Long,
    ): Placement? {
        if (servers.nextSendMs(0, nowMs) == null) return null
        val ahead = services.queueOf(profile.serviceName).countAhead(profile)
        val sendMs = servers.nextSendMs(ahead, nowMs) ?: return null
        val minTimeMs = deadlinePolicy.minTimeMs(profile, servers.times)
        val isInTime = sendMs <= profile.deadlineMs - minTimeMs
        if (isInTime && !(servers.isLimited && deadlinePolicy.isMaxWaitExceeded(profile, sendMs))) return null
        return remote.tryForward(profile, current, servers.times, Double.POSITIVE_INFINITY, true, nowMs)
            ?: refusals.of(ErrorKind.OVERLOADED, sendMs - nowMs)
    }

    /** Releases the caller slot and the claims of a queued request that was refused or cancelled. */
    fun release(profile: RequestProfile) {
        callers.release(profile.callerName)
        if (!profile.isIsolated) return
        snapshotOf().services[profile.serviceName]?.let { local.releaseClaims(profile, it) }
    }
}
