package org.arbutusrelay.core.routing

/**
 * Predicts service and queueing times and checks them against deadlines.
 *
 * Streams are judged by their first byte; [StreamEndPolicy] judges their end where it is learnt.
 */
internal class DeadlinePolicy(private val settings: SchedulerSettings) {
    /** Service time on an idle backend server with the whole prompt cached, in milliseconds. */
    fun minTimeMs(profile: RequestProfile, times: ServiceTimeModel): Double =
        if (profile.isStream) times.firstByte.predictMs(0.0) else times.predictMs(0, profile.responseTokens)

    /** Service time on a full backend server with the mean uncached share of the prompt, in milliseconds. */
    fun typicalTimeMs(profile: RequestProfile, times: ServiceTimeModel): Double = if (profile.isStream) {
        times.firstByte.predictMs(times.meanUncachedTokens())
    } else {
        times.predictTypicalMs(profile.promptTokens, profile.responseTokens)
    }

    /** Returns true when a queued request would miss its deadline if it started at [nowMs]. */
    fun willMissDeadline(profile: RequestProfile, times: ServiceTimeModel, nowMs: Long): Boolean =
        nowMs + typicalTimeMs(profile, times) * settings.startFactor > profile.deadlineMs

    /** Returns true when the first byte of a request would miss its target if the request started at [nowMs]. */
    fun willMissTarget(profile: RequestProfile, times: ServiceTimeModel, nowMs: Long): Boolean =
        profile.targetMs > 0 && nowMs + minTimeMs(profile, times) > profile.submittedAtMs + profile.targetMs

    /**
     * Returns true when a request with a target has exceeded its maximum time in the queue.
     *
     * It could still be served, but a caller that is refused early can try elsewhere.
     */
    fun isMaxWaitExceeded(profile: RequestProfile, nowMs: Long): Boolean {
        val allowedMs = (profile.deadlineMs - profile.submittedAtMs) * settings.maxWaitShare
        return profile.targetMs > 0 && nowMs > profile.submittedAtMs + allowedMs
    }

    /**
     * Predicts the queueing time. By Little's law, the throughput of this host is its number of requests in flight
     * divided by the mean time of a request.
     */
    fun predictWaitMs(ahead: Int, servers: ServerPool): Double {
        if (servers.isMemoryKnown) return (ahead + 1) * servers.times.meanMs() / servers.expectedSlots()
        val inFlight = servers.slots.sumOf { it.ownInFlight() }
        return (ahead + 1) * servers.times.meanMs() / maxOf(1, inFlight)
    }
}
