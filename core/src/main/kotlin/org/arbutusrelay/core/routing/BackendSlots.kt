package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CircuitBreaker
import org.arbutusrelay.core.admission.ConcurrencyLimit
import org.arbutusrelay.core.admission.FailureRate
import org.arbutusrelay.core.admission.SlowStart
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.schema.message.BackendServerState
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Tracks the requests that this host has in flight on one incarnation of a backend server, and decides whether it may
 * run more.
 *
 * The object outlives routing table updates, so that no slot is lost when the table is replaced.
 */
public class BackendSlots(state: BackendServerState, ramp: SlowStart, prefixIndexBlocks: Int) {
    /** Name of the backend server. */
    public val name: String = state.name

    /** Hash of the name, used for rendezvous hashing. */
    public val nameHash: Long = mix(state.name.hashCode().toLong())

    /** Latest reported state. */
    @Volatile
    public var state: BackendServerState = state
        private set

    @Volatile
    private var ramp = ramp

    /** Maximum number of concurrent requests, as announced. */
    public val capacity: Int = state.capacity.toInt()

    /** Index of the prompt blocks that are probably in its prefix cache. */
    public val prefixIndex: PrefixCacheIndex by lazy { PrefixCacheIndex(prefixIndexBlocks) }
    public val breaker: CircuitBreaker = CircuitBreaker()
    public val limit: ConcurrencyLimit = ConcurrencyLimit(capacity)

    /** Ratio of measured to predicted service time. */
    public val slowdown: Slowdown = Slowdown()

    /** Current speed of its machine; not a part of [slowdown], which lasts longer. */
    public val currentSpeed: CurrentSpeed = CurrentSpeed()

    /** Ratio of measured to predicted time per event. */
    public val eventSpeed: EventSpeed = EventSpeed()

    /** Memory for the tokens of running requests. */
    public val memory: ServerMemory = ServerMemory()

    /** Keeps requests away after the backend server has turned one away. */
    public val refusalHold: RefusalHold = RefusalHold()

    /** Share of its requests that fail. */
    public val failureRate: FailureRate = FailureRate()

    /** Limits the request rate of this host while the backend server is cold. */
    public val coldLimiter: ColdServerRateLimiter = ColdServerRateLimiter()

    /** Keeps the requests of this host to its turns while the backend server is limited. */
    public val turns: RequestTurns = RequestTurns(state.name)
    internal val freeShare = FreeShare(nameHash)
    internal val cacheSequence = CacheSequence(this)

    private val ownRequests = AtomicInteger()
    private val sentSinceReport = AtomicInteger()

    /** Smoothed number of requests in flight from other hosts. */
    @Volatile
    private var otherHostsLoad = (state.running + state.queued).toDouble()

    /** Load in the latest response, from all hosts. */
    @Volatile
    private var responseLoad = 0L

    @Volatile
    private var responseLoadAtMs = Long.MIN_VALUE / 2
    private val ownPendingTokens = AtomicLong()
    private val ownPendingRequests = AtomicInteger()

    @Volatile
    private var otherHostsQueued = 0L

    @Volatile
    private var otherHostsQueuedAtMs = Long.MIN_VALUE / 2
    private val claim = AtomicReference<RequestId?>(null)
    private val pause = AtomicReference(NO_PAUSE)

    /** End of the latest pause that the backend server asked this host for, on the monotonic clock, in milliseconds. */
    public val pausedUntilMs: Long get() = pause.get().endMs

    /**
     * Accepts no work until [endMs], as the backend server asked for, and then no more at a time than now, at first.
     *
     * The hosts that a server has sent away would otherwise all return with what they had queued meanwhile. An end
     * before that of an earlier pause has no effect.
     */
    public fun pauseUntil(endMs: Long) {
        val requested = Pause(endMs, maxOf(1, ownInFlight()))
        pause.updateAndGet { if (it.endMs >= endMs) it else requested }
    }

    /**
     * Applies the limit of the latest state, whose turns the hosts of [share] use; the state was built at [builtAtMs].
     *
     * When a limit ends, this host sends no more at a time than now, at first, as after a pause.
     */
    internal fun updateLimit(share: TurnShare, builtAtMs: Long) {
        val stated = state.limit?.takeIf { it.incarnation == state.incarnation }
        val hasEnded = turns.update(stated?.limitPermille, builtAtMs - (stated?.heldMs ?: 0), share)
        if (hasEnded) pauseUntil(builtAtMs)
    }

    /** Returns the time from [nowMs] on at which a request may be sent, as far as pauses and limits tell. */
    public fun nextSendMs(nowMs: Long): Long = maxOf(pausedUntilMs, turns.nextMs(nowMs))

    /**
     * Applies a newer report.
     *
     * The part of the reported load that exceeds this host's own requests is attributed to other hosts. Reports lag, so
     * a single one is off by the requests that this host started and finished in the meantime; the mean over several
     * reports is not.
     */
    public fun update(newer: BackendServerState) {
        val old = state
        state = newer
        val isReport = newer.version != old.version || newer.running != old.running || newer.queued != old.queued
        if (!isReport) return
        sentSinceReport.set(0)
        freeShare.reset(newer.version)
        val otherHostsRequests = (newer.running + newer.queued - ownInFlight()).toDouble()
        otherHostsLoad += (otherHostsRequests - otherHostsLoad) * REPORT_WEIGHT
    }

    /** Applies the load that a response reported at [nowMs]. */
    public fun recordLoad(running: Long, queued: Long, nowMs: Long) {
        val otherHostsRequests = (running + queued - ownInFlight()).toDouble()
        otherHostsLoad += (otherHostsRequests - otherHostsLoad) * RESPONSE_WEIGHT
        responseLoad = running + queued
        responseLoadAtMs = nowMs
        otherHostsQueued = maxOf(0L, queued - ownPendingRequests.get())
        otherHostsQueuedAtMs = nowMs
    }

    /**
     * Applies a refusal of one request of this host, which still holds its slot, because the server is full.
     *
     * The load that the response reports is a fact, or else the capacity, and not averaged with older reports.
     */
    internal fun recordFull(slotMs: Double, spread: Double, nowMs: Long) {
        val isReported = responseLoadAtMs == nowMs
        val loadNow = if (isReported) responseLoad else capacity.toLong()
        freeShare.recordRefused()
        otherHostsLoad = (loadNow - (ownInFlight() - 1)).toDouble()
        refusalHold.record(slotMs, if (isReported) maxOf(0, loadNow - capacity) else 0, spread, nowMs)
    }

    /** Returns true if a response shows that the server is full and its load is not yet expected to have fallen. */
    public fun isKnownFull(nowMs: Long): Boolean = refusalHold.isHeld(nowMs)

    /** Returns true if the memory has room for [profile]; with [countsOtherHosts] false, beside those of this host. */
    internal fun hasMemoryFor(profile: RequestProfile, times: ServiceTimeModel, countsOtherHosts: Boolean): Boolean =
        memory.capacityTokens == 0L || memory.hasRoom(
            profile.memoryTokens,
            if (countsOtherHosts) otherHostsTokens(times.meanMemoryTokens()) else 0.0,
        )

    /** Tokens that the requests of other hosts are estimated to hold, at [meanTokens] for each. */
    internal fun otherHostsTokens(meanTokens: Double): Double = maxOf(0.0, otherHostsLoad) * meanTokens

    /** Records that a request with [tokens] to prefill waits here for its first byte. */
    internal fun addPendingPrefill(tokens: Int) {
        ownPendingRequests.incrementAndGet()
        ownPendingTokens.addAndGet(tokens.toLong())
    }

    /** Records that a request added by [addPendingPrefill] no longer waits. */
    internal fun removePendingPrefill(tokens: Int) {
        ownPendingRequests.decrementAndGet()
        ownPendingTokens.addAndGet(-tokens.toLong())
    }

    /**
     * Estimates the prompt tokens that are prefilled before those of a new request.
     *
     * The pending tokens of this host are known. Each request that another host had queued in a recent report is
     * estimated at [meanTokens].
     */
    internal fun pendingPrefillTokens(meanTokens: Double, nowMs: Long): Double {
        val ageMs = nowMs - otherHostsQueuedAtMs
        val freshness = if (ageMs >= QUEUE_REPORT_TTL_MS) 0.0 else 1.0 - ageMs.toDouble() / QUEUE_REPORT_TTL_MS
        return ownPendingTokens.get() + otherHostsQueued * meanTokens * freshness
    }

    /** Returns true when [newer] has the same incarnation, service and capacity. */
    public fun isSameIncarnation(newer: BackendServerState): Boolean =
        state.incarnation == newer.incarnation && state.service == newer.service && capacity == newer.capacity.toInt()

    /** Accepts work again after the backend server has returned, with a new slow-start [ramp]. */
    public fun resume(newer: BackendServerState, ramp: SlowStart) {
        this.ramp = ramp
        update(newer)
    }

    /** Requests in flight from this host. */
    public fun ownInFlight(): Int = ownRequests.get().let { if (it == ISOLATED) 1 else it }

    /** Estimated requests in flight from all hosts: those of this host plus the smoothed estimate for other hosts. */
    public fun load(): Int = ownInFlight() + maxOf(0.0, otherHostsLoad + ROUNDING_OFFSET).toInt()

    /** Limit on the requests in flight at [nowMs]. */
    public fun limitAt(nowMs: Long): Int {
        val ramped = (limit.current() * ramp.sharePermille(nowMs) / PERMILLE).toInt()
        return maxOf(1, minOf(ramped, pause.get().limitAt(nowMs)))
    }

    /**
     * Returns true when the backend server can accept one more request at [nowMs]; it reserves nothing.
     *
     * With [countsOtherHosts] false, only the requests of this host count towards its limit.
     */
    public fun hasRoom(nowMs: Long, countsOtherHosts: Boolean = true): Boolean =
        ownRequests.get() != ISOLATED && claim.get() == null && !state.isLeaving &&
            (if (countsOtherHosts) load() else ownInFlight()) < limitAt(nowMs) && breaker.isReady(nowMs) &&
            (freeShare.isOpen(limitAt(nowMs) - load()) || (!countsOtherHosts && mayProbe())) &&
            !refusalHold.isHeld(nowMs) &&
            coldLimiter.isOpen(nowMs) && nowMs >= pausedUntilMs && turns.isOpen(nowMs)

    /**
     * Returns true if this host may send although reports say that the server is full.
     *
     * Where the memory is known, one request at a time does: its response tells how full the server is.
     */
    private fun mayProbe(): Boolean =
        memory.capacityTokens == 0L || ownPendingRequests.get() == 0

    /** Acquires a slot if there is room as in [hasRoom]; the caller must call [release] afterwards. */
    public fun tryAcquire(nowMs: Long, countsOtherHosts: Boolean = true): Boolean {
        if (!hasRoom(nowMs, countsOtherHosts)) return false
        val bound = limitAt(nowMs)
        while (true) {
            val count = ownRequests.get()
            if (count == ISOLATED || count >= bound) return false
            if (!ownRequests.compareAndSet(count, count + 1)) continue
            if (claim.get() == null && tryAdmit(nowMs)) break
            ownRequests.decrementAndGet()
            return false
        }
        sentSinceReport.incrementAndGet()
        freeShare.recordSent()
        return true
    }

    private fun tryAdmit(nowMs: Long): Boolean =
        coldLimiter.tryAcquire(nowMs) && turns.tryAcquire(nowMs) && breaker.tryAdmit(nowMs)

    /** Acquires the whole backend server for [id] when it is idle; the caller must call [release] afterwards. */
    public fun tryAcquireIsolated(id: RequestId, nowMs: Long): Boolean {
        val claimant = claim.get()
        if (claimant != null && claimant != id) return false
        val latest = state
        if (latest.isLeaving || latest.running + latest.queued > 0) return false
        if (!breaker.isReady(nowMs) || !coldLimiter.isOpen(nowMs) || nowMs < pausedUntilMs) return false
        if (!turns.isOpen(nowMs) || !ownRequests.compareAndSet(0, ISOLATED)) return false
        releaseClaim(id)
        turns.tryAcquire(nowMs)
        coldLimiter.tryAcquire(nowMs)
        breaker.tryAdmit(nowMs)
        sentSinceReport.incrementAndGet()
        return true
    }

    /** Returns the state at [nowMs] that is shown to operators. */
    public fun view(nowMs: Long): ScheduledServer =
        ScheduledServer(sentSinceReport.get().toLong(), breaker.isOpen, ramp.sharePermille(nowMs) < PERMILLE)

    /** Releases a slot. */
    public fun release() {
        ownRequests.updateAndGet { if (it == ISOLATED) 0 else it - 1 }
        freeShare.recordEnded()
    }

    /** Claims the backend server so that it accepts no new work until [id] has run in isolation. */
    public fun tryClaim(id: RequestId): Boolean = claim.compareAndSet(null, id)

    /** Returns true when the backend server is claimed by [id]. */
    public fun isClaimedBy(id: RequestId): Boolean = claim.get() == id

    /** Releases the claim of [id], if it has one. */
    public fun releaseClaim(id: RequestId) {
        val claimant = claim.get()
        if (claimant == id) claim.compareAndSet(claimant, null)
    }

    /** A pause until [endMs], after which the limit doubles in each interval, from [startLimit] on. */
    private class Pause(val endMs: Long, private val startLimit: Int) {
        fun limitAt(nowMs: Long): Int {
            val doublings = (nowMs - endMs).coerceAtLeast(0) / PAUSE_DOUBLING_MS
            return if (doublings < PAUSE_DOUBLINGS) startLimit shl doublings.toInt() else Int.MAX_VALUE
        }
    }

    internal companion object {
        private const val ISOLATED = -1
        private const val REPORT_WEIGHT = 0.2
        private const val RESPONSE_WEIGHT = 0.4

        /** Requests that were queued this long ago have been prefilled since. */
        private const val QUEUE_REPORT_TTL_MS = 600L
        private const val ROUNDING_OFFSET = 0.5

        /** About the time after which the responses to the requests before tell whether the server bears more. */
        private const val PAUSE_DOUBLING_MS = 250L
        private const val PAUSE_DOUBLINGS = 6
        private val NO_PAUSE = Pause(Long.MIN_VALUE / 2, 1)
        private const val PERMILLE = 1_000L
        private const val MIX_MULTIPLIER = -0x4b47d0c5a1a6e5b3L
        private const val MIX_SHIFT = 31

        /** Returns a number from 0 to 1 that is fixed for [seed]. */
        internal fun spreadOf(seed: Long): Double = (mix(seed) ushr 1).toDouble() / Long.MAX_VALUE

        /** Mixes the bits of a hash. */
        internal fun mix(value: Long): Long {
            val mixed = (value xor (value ushr MIX_SHIFT)) * MIX_MULTIPLIER
            return mixed xor (mixed ushr MIX_SHIFT)
        }
    }
}
