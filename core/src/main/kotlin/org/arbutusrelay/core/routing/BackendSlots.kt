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
 * Counts what this host runs on one incarnation of a backend server, and decides whether it may run more.
 *
 * The object outlives changes of the routing table, so that no slot is lost when the table is replaced.
 */
public class BackendSlots(state: BackendServerState, ramp: SlowStart, historyBlocks: Int) {
    /** Name of the backend server. */
    public val name: String = state.name

    /** Hash of the name, for rendezvous hashing. */
    public val nameHash: Long = mix(state.name.hashCode().toLong())

    /** Latest report. */
    @Volatile
    public var state: BackendServerState = state
        private set

    @Volatile
    private var ramp = ramp

    /** Requests that it runs at the same time, as announced. */
    public val capacity: Int = state.capacity.toInt()

    /** Blocks that it is believed to hold. */
    public val history: PrefixHistory by lazy { PrefixHistory(historyBlocks) }
    public val breaker: CircuitBreaker = CircuitBreaker()
    public val limit: ConcurrencyLimit = ConcurrencyLimit(capacity)

    /** How much longer it takes than predicted. */
    public val slowdown: Slowdown = Slowdown()

    /** Which share of its requests fails. */
    public val failureRate: FailureRate = FailureRate()

    /** Limits what this host sends while the backend server is cold. */
    public val coldGate: ColdGate = ColdGate()
    internal val cacheSequence = CacheSequence(this)

    private val own = AtomicInteger()
    private val sentSinceReport = AtomicInteger()

    /** Smoothed requests of other hosts. */
    @Volatile
    private var others = (state.running + state.queued).toDouble()
    private val ownPendingTokens = AtomicLong()
    private val ownPending = AtomicInteger()

    @Volatile
    private var otherWaiting = 0L

    @Volatile
    private var otherWaitingAtMs = Long.MIN_VALUE / 2
    private val claim = AtomicReference<RequestId?>(null)

    /**
     * Takes over a newer report.
     *
     * What the report exceeds this host's own requests by belongs to other hosts. The report lags, so a single one is
     * off by what this host started and ended meanwhile; the mean over several reports is not.
     */
    public fun update(newer: BackendServerState) {
        val old = state
        state = newer
        val isReport = newer.version != old.version || newer.running != old.running || newer.queued != old.queued
        if (!isReport) return
        sentSinceReport.set(0)
        val excess = (newer.running + newer.queued - ownInFlight()).toDouble()
        others += (excess - others) * REPORT_WEIGHT
    }

    /** Takes over a load that a response told at [nowMs]. */
    public fun report(running: Long, queued: Long, nowMs: Long) {
        val excess = (running + queued - ownInFlight()).toDouble()
        others += (excess - others) * RESPONSE_WEIGHT
        otherWaiting = maxOf(0L, queued - ownPending.get())
        otherWaitingAtMs = nowMs
    }

    /** Notes that a request with [tokens] to be read waits here for its first byte. */
    internal fun addPending(tokens: Int) {
        ownPending.incrementAndGet()
        ownPendingTokens.addAndGet(tokens.toLong())
    }

    /** Notes that a request of [addPending] waits no longer. */
    internal fun removePending(tokens: Int) {
        ownPending.decrementAndGet()
        ownPendingTokens.addAndGet(-tokens.toLong())
    }

    /**
     * Estimates the prompt tokens that are read before those of a new request.
     *
     * The own requests are known; those of other hosts are a recent report's waiting requests of [meanTokens] each.
     */
    internal fun pendingTokens(meanTokens: Double, nowMs: Long): Double {
        val ageMs = nowMs - otherWaitingAtMs
        val freshShare = if (ageMs >= WAITING_MEMORY_MS) 0.0 else 1.0 - ageMs.toDouble() / WAITING_MEMORY_MS
        return ownPendingTokens.get() + otherWaiting * meanTokens * freshShare
    }

    /** Returns true when [newer] is about the same incarnation with the same service and capacity. */
    public fun isFor(newer: BackendServerState): Boolean =
        state.incarnation == newer.incarnation && state.service == newer.service && capacity == newer.capacity.toInt()

    /** Takes work again after an absence, along a new [ramp]. */
    public fun resume(newer: BackendServerState, ramp: SlowStart) {
        this.ramp = ramp
        update(newer)
    }

    /** Requests in flight from this host. */
    public fun ownInFlight(): Int = own.get().let { if (it == ISOLATED) 1 else it }

    /** Estimated requests in flight from all hosts: the own ones plus what the reports say of others. */
    public fun load(): Int = ownInFlight() + maxOf(0.0, others + HALF).toInt()

    /** Requests that may be in flight at [nowMs]. */
    public fun limitAt(nowMs: Long): Int =
        maxOf(1, (limit.current() * ramp.sharePermille(nowMs) / PERMILLE).toInt())

    /** Returns true when the backend server can take one more request at [nowMs]; it reserves nothing. */
    public fun hasRoom(nowMs: Long): Boolean =
        own.get() != ISOLATED && claim.get() == null && !state.isLeaving &&
            load() < limitAt(nowMs) && breaker.isReady(nowMs) && coldGate.isOpen(nowMs)

    /** Occupies a slot; [release] must follow. */
    public fun tryAcquire(nowMs: Long): Boolean {
        if (!hasRoom(nowMs)) return false
        val bound = limitAt(nowMs)
        while (true) {
            val count = own.get()
            if (count == ISOLATED || count >= bound) return false
            if (!own.compareAndSet(count, count + 1)) continue
            if (claim.get() == null && coldGate.tryPass(nowMs) && breaker.tryAdmit(nowMs)) break
            own.decrementAndGet()
            return false
        }
        sentSinceReport.incrementAndGet()
        return true
    }

    /** Occupies the whole backend server for [id]; [release] must follow. Succeeds only when it is idle. */
    public fun tryAcquireIsolated(id: RequestId, nowMs: Long): Boolean {
        val claimant = claim.get()
        if (claimant != null && claimant != id) return false
        val latest = state
        if (latest.isLeaving || latest.running + latest.queued > 0) return false
        if (!breaker.isReady(nowMs) || !coldGate.isOpen(nowMs)) return false
        if (!own.compareAndSet(0, ISOLATED)) return false
        dropClaim(id)
        coldGate.tryPass(nowMs)
        breaker.tryAdmit(nowMs)
        sentSinceReport.incrementAndGet()
        return true
    }

    /** Returns what operators may see at [nowMs]. */
    public fun view(nowMs: Long): ScheduledServer =
        ScheduledServer(sentSinceReport.get().toLong(), breaker.isOpen, ramp.sharePermille(nowMs) < PERMILLE)

    /** Frees a slot. */
    public fun release() {
        own.updateAndGet { if (it == ISOLATED) 0 else it - 1 }
    }

    /** Keeps new work away until [id] has run in isolation here. */
    public fun tryClaim(id: RequestId): Boolean = claim.compareAndSet(null, id)

    /** Returns true when [id] keeps new work away from here. */
    public fun isClaimedBy(id: RequestId): Boolean = claim.get() == id

    /** Gives up the claim of [id]. */
    public fun dropClaim(id: RequestId) {
        val claimant = claim.get()
        if (claimant == id) claim.compareAndSet(claimant, null)
    }

    internal companion object {
        private const val ISOLATED = -1
        private const val REPORT_WEIGHT = 0.2
        private const val RESPONSE_WEIGHT = 0.4

        /** A queue that was seen this long ago has been read since. */
        private const val WAITING_MEMORY_MS = 600L
        private const val HALF = 0.5
        private const val PERMILLE = 1_000L
        private const val MIX = -0x4b47d0c5a1a6e5b3L
        private const val SHIFT = 31

        /** Mixes the bits of a hash. */
        internal fun mix(value: Long): Long {
            val mixed = (value xor (value ushr SHIFT)) * MIX
            return mixed xor (mixed ushr SHIFT)
        }
    }
}
