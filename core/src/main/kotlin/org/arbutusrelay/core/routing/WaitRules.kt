package org.arbutusrelay.core.routing

/** Predicts how long a request needs and may wait; a stream counts by its first byte, because its length is a guess. */
internal class WaitRules(private val settings: SchedulerSettings) {
    /** Time on an idle backend server that holds the whole prompt, in milliseconds. */
    fun fastestMs(profile: RequestProfile, times: ServiceTimes): Double =
        if (profile.isStream) times.firstByte.predictMs(0.0) else times.predictMs(0, profile.responseTokens)

    /** Time on a full backend server with the usual share of the prompt cached, in milliseconds. */
    fun typicalMs(profile: RequestProfile, times: ServiceTimes): Double = if (profile.isStream) {
        times.firstByte.predictMs(times.meanUncachedTokens())
    } else {
        times.predictTypicalMs(profile.promptTokens, profile.responseTokens)
    }

    /** Returns true when a queued request would miss its deadline if it began at [nowMs]. */
    fun isTooLate(profile: RequestProfile, times: ServiceTimes, nowMs: Long): Boolean =
        nowMs + typicalMs(profile, times) * settings.startFactor > profile.deadlineMs

    /** Returns true when the first byte of a request would come after its target if it began at [nowMs]. */
    fun isTargetMissed(profile: RequestProfile, times: ServiceTimes, nowMs: Long): Boolean =
        profile.targetMs > 0 && nowMs + fastestMs(profile, times) > profile.submittedAtMs + profile.targetMs

    /**
     * Returns true when a request with a target has waited for as long as is of use.
     *
     * It could still be served, but a caller that is told in time can turn elsewhere.
     */
    fun isWaitOver(profile: RequestProfile, nowMs: Long): Boolean {
        val allowedMs = (profile.deadlineMs - profile.submittedAtMs) * settings.waitShare
        return profile.targetMs > 0 && nowMs > profile.submittedAtMs + allowedMs
    }

    /** By Little's law this host's throughput is what it has in flight divided by the mean time of a request. */
    fun predictWaitMs(ahead: Int, servers: ServiceServers): Double {
        val inFlight = servers.slots.sumOf { it.ownInFlight() }
        return (ahead + 1) * servers.times.meanMs() / maxOf(1, inFlight)
    }
}
