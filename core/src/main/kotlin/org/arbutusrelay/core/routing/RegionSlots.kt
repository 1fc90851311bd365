package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CircuitBreaker
import org.arbutusrelay.core.admission.SlowStart
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts what this host sent to another region and predicts how long a request takes there. */
public class RegionSlots(
    region: RemoteRegion,
    private val ramp: SlowStart,
    failureThreshold: Int = 3,
    openMs: Long = 2_000,
) {
    /** Latest summary. */
    @Volatile
    public var region: RemoteRegion = region
        private set

    public val breaker: CircuitBreaker = CircuitBreaker(failureThreshold, openMs)
    private val own = ConcurrentHashMap<String, AtomicInteger>()
    private val excess = ConcurrentHashMap<String, RecentExcess>()

    /** Takes over a newer summary. */
    public fun update(newer: RemoteRegion) {
        region = newer
    }

    /** Requests of this host for [serviceName] in flight there. */
    public fun ownInFlight(serviceName: String): Int = own[serviceName]?.get() ?: 0

    /** Share of its work that the region may get at [nowMs] after it has returned, in thousandths. */
    public fun sharePermille(nowMs: Long): Long = ramp.sharePermille(nowMs)

    /** Returns true when requests for [serviceName] may be sent at [nowMs]. */
    public fun isUsable(serviceName: String, nowMs: Long): Boolean {
        val latest = region
        val summary = latest.services[serviceName] ?: return false
        return summary.backendServers > 0 && latest.ageMs <= MAX_AGE_MS && latest.linkUsePermille < MAX_LINK_USE &&
            breaker.isReady(nowMs) && ownInFlight(serviceName) * PERMILLE <= summary.capacity * sharePermille(nowMs)
    }

    /**
     * Predicts how long [profile] takes there with a cold cache, in milliseconds, link delay both ways included.
     *
     * The link's delay grows with the share in use as in a queue with random arrivals.
     */
    public fun predictMs(profile: RequestProfile, times: ServiceTimes): Double {
        val latest = region
        val summary = latest.services[profile.serviceName] ?: return Double.MAX_VALUE
        val useShare = minOf(latest.linkUsePermille, MAX_LINK_USE) / PERMILLE.toDouble()
        val linkMs = 2 * latest.link.oneWayDelayMs / (1 - useShare)
        val load = maxOf(ownInFlight(profile.serviceName).toLong(), summary.running + summary.queued)
        val runMs = times.predictMs(profile.promptTokens, profile.responseTokens) *
            ServiceTimes.loadFactor(load.toInt(), summary.capacity.toInt())
        val meanMs = maxOf(summary.predictedMs.toDouble(), times.meanMs())
        val waitMs = maxOf(0L, load + 1 - summary.capacity) * meanMs / maxOf(1L, summary.capacity)
        return linkMs + waitMs + runMs
    }

    /** Records that a first byte of [serviceName] came [excessMs] later than the announced load let expect. */
    internal fun recordExcess(serviceName: String, excessMs: Double, nowMs: Long): Unit =
        excess.computeIfAbsent(serviceName) { RecentExcess() }.record(excessMs, nowMs)

    /**
     * Predicts the time to the first byte of [profile] there, link delay both ways included, in milliseconds.
     *
     * What recent first bytes took beyond this prediction is added, because the queues of the hosts there are unknown.
     */
    public fun predictFirstByteMs(profile: RequestProfile, times: ServiceTimes, nowMs: Long): Double =
        announcedFirstByteMs(profile, times) + excessMs(profile.serviceName, nowMs)

    /** Returns by how much recent first bytes of [serviceName] came later than announced load let expect, in ms. */
    internal fun excessMs(serviceName: String, nowMs: Long): Double = excess[serviceName]?.at(nowMs) ?: 0.0

    /** Predicts the time to the first byte from the announced load alone, in milliseconds. */
    internal fun announcedFirstByteMs(profile: RequestProfile, times: ServiceTimes): Double {
        val latest = region
        val summary = latest.services[profile.serviceName] ?: return Double.MAX_VALUE
        val servers = maxOf(1L, summary.backendServers).toDouble()
        val linkMs = 2.0 * latest.link.oneWayDelayMs
        if (profile.promptTokens == 0) {
            val load = maxOf(ownInFlight(profile.serviceName).toLong(), summary.running + summary.queued)
            return linkMs + times.meanMs() * maxOf(1.0, (load + 1.0) / maxOf(1L, summary.capacity))
        }
        val aheadTokens = maxOf(summary.queued.toDouble(), ownInFlight(profile.serviceName) * WAITING_SHARE) / servers *
            times.meanUncachedTokens()
        return linkMs +
            times.firstByte.predictMs(aheadTokens + profile.promptTokens - profile.sharedTokens * HELD_SHARE)
    }

    internal fun acquire(serviceName: String) {
        own.computeIfAbsent(serviceName) { AtomicInteger() }.incrementAndGet()
    }

    internal fun release(serviceName: String) {
        own[serviceName]?.decrementAndGet()
    }

    private companion object {
        private const val PERMILLE = 1_000L

        /** Share of the requests in flight that still wait for their first byte. */
        private const val WAITING_SHARE = 0.3

        /** Share of a prompt's shared head that some backend server there is taken to hold. */
        private const val HELD_SHARE = 0.5
        private const val MAX_LINK_USE = 900L

        // Region summaries arrive once a second; an older one says nothing of the present queue.
        private const val MAX_AGE_MS = 5_000L
    }
}

/** A region with the predicted time to the first byte there, in milliseconds. */
internal class RegionForecast(val region: RegionSlots, val firstByteMs: Double)

/** Returns the region from which the first byte of [profile] is predicted soonest, or null when there is none. */
internal fun List<RegionSlots>.soonest(profile: RequestProfile, times: ServiceTimes, nowMs: Long): RegionForecast? =
    map { RegionForecast(it, it.predictFirstByteMs(profile, times, nowMs)) }.minByOrNull { it.firstByteMs }
