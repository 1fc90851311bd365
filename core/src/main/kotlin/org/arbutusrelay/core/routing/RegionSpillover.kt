package org.arbutusrelay.core.routing

/**
 * Sends requests with a target to another region although this one could run them.
 *
 * A long prompt goes to a region with free slots as soon as this host uses most of its share: its prefill would delay
 * all streams of its server, and it relieves this region most for the few events that then cross the link. Any other
 * request goes when its first byte is predicted to be late here and clearly earlier elsewhere.
 */
internal class RegionSpillover(
    private val remote: RemotePlacement,
    private val selector: ServerSelector,
    private val settings: SchedulerSettings,
) {
    /** Forwards the request, or returns null when it stays in this region. */
    fun place(profile: RequestProfile, current: SchedulerSnapshot, servers: ServerPool, nowMs: Long): Placement? {
        if (profile.targetMs <= 0 || profile.isForwarded) return null
        val firstMs = selector.predictFirstByteMs(profile, servers, nowMs) ?: return null
        balance(profile, current, servers, nowMs)?.let { return it }
        if (firstMs <= profile.targetMs * settings.spilloverTargetShare) return null
        return remote.trySpillOver(profile, current, servers.times, firstMs, nowMs)
    }

    private fun balance(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServerPool,
        nowMs: Long,
    ): Placement? {
        val isLong = profile.promptTokens > servers.times.meanPromptTokens()
        if (!isLong || !servers.isShareKnown || servers.ownShareUsed() < settings.balanceShareUsed) return null
        val limits = BalanceLimits(settings.balanceMaxRegionUse, profile.targetMs * settings.spilloverTargetShare)
        return remote.tryBalance(profile, current, servers.times, limits, nowMs)
    }
}
