package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CircuitBreaker
import org.arbutusrelay.core.admission.SlowStart
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Tracks the requests that this host has forwarded to another region and predicts how long a request takes there. */
public class RegionSlots(
    region: RemoteRegion,
    private val ramp: SlowStart,
    failureThreshold: Int = 3,
    openMs: Long = 2_000,
) {
    /** Latest received summary. */
    @Volatile
    public var region: RemoteRegion = region
        private set

    public val breaker: CircuitBreaker = CircuitBreaker(failureThreshold, openMs)
    private val inFlightByService = ConcurrentHashMap<String, AtomicInteger>()
    private val overrunByService = ConcurrentHashMap<String, FirstByteOverruns>()

    /** Applies a newer summary. */
    public fun update(newer: RemoteRegion) {
        region = newer
    }

    /** Requests of this host to [serviceName] in flight there. */
    public fun ownInFlight(serviceName: String): Int = inFlightByService[serviceName]?.get() ?: 0

    /** Slow-start share at [nowMs] of the load that the region may get after it has returned, in thousandths. */
    public fun sharePermille(nowMs: Long): Long = ramp.sharePermille(nowMs)

    /** Returns true when requests to [serviceName] may be forwarded at [nowMs]. */
    public fun isUsable(serviceName: String, nowMs: Long): Boolean {
        val latest = region
        val summary = latest.services[serviceName] ?: return false
        return summary.backendServers > 0 && latest.ageMs <= MAX_SUMMARY_AGE_MS &&
            latest.linkUsePermille < MAX_LINK_USE_PERMILLE && breaker.isReady(nowMs) &&
            ownInFlight(serviceName) * PERMILLE <= summary.capacity * sharePermille(nowMs)
    }

    /** Returns true when [profile] may be forwarded at [nowMs], and a server there may run it. */
    internal fun isUsableFor(profile: RequestProfile, nowMs: Long): Boolean {
        val versions = region.softwareVersions[profile.serviceName]
        val hasServer = profile.softwareVersion == null || versions == null || profile.softwareVersion in versions
        return hasServer && isUsable(profile.serviceName, nowMs)
    }

    /**
     * Predicts the time of [profile] there with a cold cache, in milliseconds, including the link delay both ways.
     *
     * The link delay grows with link utilisation as in a queue with random arrivals.
     */
    public fun predictMs(profile: RequestProfile, times: ServiceTimeModel): Double {
        val latest = region
        val summary = latest.services[profile.serviceName] ?: return Double.MAX_VALUE
        val useShare = minOf(latest.linkUsePermille, MAX_LINK_USE_PERMILLE) / PERMILLE.toDouble()
        val linkMs = 2 * latest.link.oneWayDelayMs / (1 - useShare)
        val load = maxOf(ownInFlight(profile.serviceName).toLong(), summary.running + summary.queued)
        val runMs = times.predictMs(profile.promptTokens, profile.responseTokens) *
            ServiceTimeModel.loadFactor(load.toInt(), summary.capacity.toInt())
        val meanMs = maxOf(summary.predictedMs.toDouble(), times.meanMs())
        val waitMs = maxOf(0L, load + 1 - summary.capacity) * meanMs / maxOf(1L, summary.capacity)
        return linkMs + waitMs + runMs
    }

    /** Records that the first byte of [profile] arrived [overrunMs] later than predicted from the announced load. */
    internal fun recordOverrun(profile: RequestProfile, overrunMs: Double, nowMs: Long): Unit =
        overrunByService.computeIfAbsent(profile.serviceName) { FirstByteOverruns() }
            .record(profile.priority, overrunMs, nowMs)

    /**
     * Predicts the time to first byte of [profile] there, in milliseconds, including the link delay both ways.
     *
     * The overrun of recent first bytes is added, because the queues of the hosts there are unknown.
     */
    public fun predictFirstByteMs(profile: RequestProfile, times: ServiceTimeModel, nowMs: Long): Double =
        predictFirstByteFromSummaryMs(profile, times) + overrunMs(profile, nowMs)

    /**
     * Returns how much later than predicted from the announced load recent first bytes of such requests arrived, in ms.
     */
    internal fun overrunMs(profile: RequestProfile, nowMs: Long): Double =
        overrunByService[profile.serviceName]?.at(profile.priority, nowMs) ?: 0.0

    /** Predicts the time to first byte from the announced load alone, in milliseconds. */
    internal fun predictFirstByteFromSummaryMs(profile: RequestProfile, times: ServiceTimeModel): Double {
        val latest = region
        val summary = latest.services[profile.serviceName] ?: return Double.MAX_VALUE
        val servers = maxOf(1L, summary.backendServers).toDouble()
        val linkMs = 2.0 * latest.link.oneWayDelayMs
        if (profile.promptTokens == 0) {
            val load = maxOf(ownInFlight(profile.serviceName).toLong(), summary.running + summary.queued)
            return linkMs + times.meanMs() * maxOf(1.0, (load + 1.0) / maxOf(1L, summary.capacity))
        }
        val aheadTokens =
            maxOf(summary.queued.toDouble(), ownInFlight(profile.serviceName) * AWAITING_FIRST_BYTE_SHARE) / servers *
                times.meanUncachedTokens()
        return linkMs +
            times.firstByte.predictMs(aheadTokens + profile.promptTokens - profile.sharedTokens * ASSUMED_CACHED_SHARE)
    }

    /** Returns the part of the slots of [serviceName] there that is reported to be in use. */
    internal fun usedShare(serviceName: String): Double {
        val summary = region.services[serviceName] ?: return 1.0
        return (summary.running + summary.queued).toDouble() / maxOf(1L, summary.capacity)
    }

    internal fun acquire(serviceName: String) {
        inFlightByService.computeIfAbsent(serviceName) { AtomicInteger() }.incrementAndGet()
    }

    internal fun release(serviceName: String) {
        inFlightByService[serviceName]?.decrementAndGet()
    }

    private companion object {
        private const val PERMILLE = 1_000L

        /** Share of the requests in flight that still wait for their first byte. */
        private const val AWAITING_FIRST_BYTE_SHARE = 0.3

        /** Share of a shared prefix that is assumed to be cached on some backend server there. */
        private const val ASSUMED_CACHED_SHARE = 0.5
        private const val MAX_LINK_USE_PERMILLE = 900L

        // Region summaries arrive once a second; an older one does not reflect the current queue.
        private const val MAX_SUMMARY_AGE_MS = 5_000L
    }
}

/** A region and the predicted time to first byte there, in milliseconds. */
internal class RegionForecast(val region: RegionSlots, val firstByteMs: Double)

/** Returns the region with the earliest predicted first byte of [profile], or null when there is none. */
internal fun List<RegionSlots>.earliestFirstByte(
    profile: RequestProfile,
    times: ServiceTimeModel,
    nowMs: Long,
): RegionForecast? =
    map { RegionForecast(it, it.predictFirstByteMs(profile, times, nowMs)) }.minByOrNull { it.firstByteMs }
