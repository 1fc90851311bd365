package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CallerLimits
import org.arbutusrelay.core.admission.ShareBudget
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.api.CacheEvents
import org.arbutusrelay.schema.manifest.Caller
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Schedules requests by deadline, caller and predicted finish.
 *
 * [callerOf] finds a caller in the manifest in force; a caller it does not know has no limits. Decisions read an
 * immutable snapshot and atomic counters; only requests that have to wait take a lock, one for each service.
 * A resubmitted request (one with tried backend servers) and a forwarded one are not counted against the rate again.
 */
public class DefaultRequestScheduler(
    callerOf: (String) -> Caller?,
    private val invariants: Invariants = Invariants(),
    private val settings: SchedulerSettings = SchedulerSettings(),
    private val serverChoice: ServerChoice = FinishChoice(),
    regionChoice: RegionChoice = FinishRegionChoice(),
) : RequestScheduler,
    SchedulerView {
    private val snapshot = AtomicReference(SchedulerSnapshot.EMPTY)
    private val latestMs = AtomicLong()
    private val startedAtMs = AtomicLong(NOT_STARTED)
    private val services = ServiceRecords(settings)
    private val attempts = OpenAttempts()
    private val callers = CallerLimits(callerOf)
    private val hedgeBudget = ShareBudget()
    private val awayBudget = ShareBudget()
    private val rules = WaitRules(settings)
    private val builder = SnapshotBuilder(settings, services::timesOf)
    private val local = LocalPlacement(serverChoice, attempts, invariants, snapshot::get)
    private val remote = RemotePlacement(regionChoice, attempts, invariants, awayBudget)

    override fun updateTable(table: RoutingTable): Unit = synchronized(builder) {
        val nowMs = latestMs.get()
        services.limitRetryBurst(table.maxRetryBurst ?: settings.maxRetryBurst)
        val isStarting = startedAtMs.get() == NOT_STARTED || nowMs - startedAtMs.get() < settings.rampMs
        snapshot.set(builder.build(snapshot.get(), table, nowMs, isStarting))
    }

    override fun submit(profile: RequestProfile, nowMs: Long): Placement {
        recordTime(nowMs)
        if (profile.deadlineMs <= nowMs) return refused(ErrorKind.DEADLINE_UNREACHABLE)
        val isRepeated = profile.isForwarded || profile.triedBackendServers.isNotEmpty()
        val waitMs = callers.tryAcquire(profile.callerName, nowMs, isRateExempt = isRepeated)
        if (waitMs > 0) return refused(ErrorKind.CALLER_LIMIT, waitMs)
        if (!isRepeated) recordRequest(profile)
        val placement = placeNew(profile, nowMs)
        if (placement is Placement.Refused) callers.release(profile.callerName)
        return placement
    }

    override fun recordFirstByte(attempt: PlacedAttempt, nowMs: Long) {
        val open = attempts.find(attempt.attemptNumber) ?: return
        open.firstByteMs = nowMs
        open.endPending()
        val excessMs = nowMs - attempt.placedAtMs - open.predictedFirstMs
        open.region?.recordExcess(attempt.profile.serviceName, excessMs, nowMs)
    }

    override fun complete(attempt: PlacedAttempt, result: AttemptResult, nowMs: Long): List<QueuedPlacement> {
        recordTime(nowMs)
        val open = attempts.take(attempt.attemptNumber) ?: return emptyList()
        open.endPending()
        AttemptRecorder.end(open, attempt, result, nowMs)
        if (!attempt.isHedge) callers.release(attempt.profile.callerName)
        val queue = services.queues[attempt.profile.serviceName]
        if (queue == null || queue.size == 0) return emptyList()
        return ArrayList<QueuedPlacement>().also { drain(queue, it, nowMs) }
    }

    override fun poll(nowMs: Long): List<QueuedPlacement> {
        recordTime(nowMs)
        var placed: MutableList<QueuedPlacement>? = null
        for (queue in services.queues.values) {
            if (queue.size == 0) continue
            val sink = placed ?: ArrayList<QueuedPlacement>().also { placed = it }
            drain(queue, sink, nowMs, isExpiring = true)
        }
        return placed.orEmpty()
    }

    override fun cancel(profile: RequestProfile): Boolean {
        if (services.queues[profile.serviceName]?.cancel(profile.id) != true) return false
        endQueued(profile)
        return true
    }

    override fun tryRetry(profile: RequestProfile, nowMs: Long): Boolean {
        val fastestMs = rules.fastestMs(profile, services.timesOf(profile.serviceName))
        return nowMs + fastestMs <= profile.deadlineMs && services.retryBudgetOf(profile.serviceName).trySpend()
    }

    override fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt? {
        val open = attempts.find(attempt.attemptNumber) ?: return null
        val profile = attempt.profile
        val mayHedge = profile.isIdempotent && !profile.isIsolated && !attempt.isHedge && open.slots != null
        val isWaiting = !open.hedged.get() && open.firstByteMs == OpenAttempt.NONE &&
            nowMs - attempt.placedAtMs >= open.predictedMs * settings.hedgeAfterFactor
        if (!mayHedge || !isWaiting) return null
        if ((services.queues[profile.serviceName]?.size ?: 0) > 0 || !hedgeBudget.canSpend()) return null
        if (!open.hedged.compareAndSet(false, true)) return null
        val hedge = local.tryHedge(attempt, nowMs)
        if (hedge == null) open.hedged.set(false)
        // A lost race for the last unit overdraws the budget by one hedge, which the next requests pay back.
        if (hedge != null) hedgeBudget.trySpend()
        return hedge
    }

    override fun recordCacheEvents(backendServer: String, events: CacheEvents) {
        snapshot.get().slotsByName[backendServer]?.cacheSequence?.apply(events)
    }

    /** Records the load that a response of a backend server told. */
    public fun recordLoad(backendServer: String, running: Long, queued: Long, nowMs: Long) {
        snapshot.get().slotsByName[backendServer]?.report(running, queued, nowMs)
    }

    override fun viewOf(name: String, nowMs: Long): ScheduledServer? =
        snapshot.get().slotsByName[name]?.view(nowMs)

    override fun loadPermille(): Long {
        val present = snapshot.get().services.values
        val capacity = present.sumOf { it.capacity }
        val queued = services.queues.values.sumOf { it.size }
        return if (capacity == 0) 0 else (present.sumOf { it.load() } + queued) * PERMILLE / capacity
    }

    /** Predicts the time of a request of [serviceName] under the present load, for the region's summary, in ms. */
    public fun predictedMs(serviceName: String): Long = services.timesOf(serviceName).meanMs().toLong()

    /** Number of attempts that occupy a slot. */
    public fun openAttempts(): Int = attempts.size()

    /** Number of waiting requests. */
    public fun queuedRequests(): Int = services.queues.values.sumOf { it.size }

    private fun recordTime(nowMs: Long) {
        latestMs.set(nowMs)
        if (startedAtMs.get() == NOT_STARTED) startedAtMs.compareAndSet(NOT_STARTED, nowMs)
    }

    private fun recordRequest(profile: RequestProfile) {
        services.retryBudgetOf(profile.serviceName).recordRequest(settings.retryPermille)
        hedgeBudget.recordRequest(settings.hedgePermille)
        awayBudget.recordRequest(snapshot.get().table.sentAwayPermille)
    }

    private fun placeNew(profile: RequestProfile, nowMs: Long): Placement {
        val current = snapshot.get()
        val here = current.table.region
        val serviceTimes = services.timesOf(profile.serviceName)
        val isLocalAllowed = here in profile.allowedRegions
        if (!isLocalAllowed || profile.allowedRegions.first() != here) {
            remote.trySendHome(profile, current, serviceTimes, isLocalAllowed, nowMs)?.let { return it }
        }
        if (!isLocalAllowed) {
            return refused(if (profile.isForwarded) ErrorKind.FORWARD_REFUSED else ErrorKind.REGION_UNREACHABLE)
        }
        val servers = current.services[profile.serviceName]
        if (servers != null) return placeHere(profile, current, servers, nowMs)
        return remote.trySendAway(profile, current, serviceTimes, Double.POSITIVE_INFINITY, true, nowMs)
            ?: refused(ErrorKind.NO_BACKEND_SERVER)
    }

    private fun placeHere(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServiceServers,
        nowMs: Long,
    ): Placement {
        val fastestMs = rules.fastestMs(profile, servers.times)
        if (nowMs + fastestMs > profile.deadlineMs) return refused(ErrorKind.DEADLINE_UNREACHABLE, fastestMs.toLong())
        val queue = services.queueOf(profile.serviceName)
        if (profile.isIsolated) return if (queue.offer(profile)) Placement.Queued else refused(ErrorKind.OVERLOADED)
        relieve(profile, current, servers, nowMs)?.let { return it }
        if (queue.size == 0) local.tryRun(profile, nowMs)?.let { return Placement.Run(it) }
        return enqueue(profile, current, servers, queue, nowMs)
    }

    /** Sends a request away whose first byte would come too late here and sooner elsewhere. */
    private fun relieve(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServiceServers,
        nowMs: Long,
    ): Placement? {
        if (profile.targetMs <= 0 || profile.isForwarded) return null
        val firstMs = serverChoice.predictFirstByteMs(profile, servers, nowMs) ?: return null
        if (firstMs <= profile.targetMs * settings.relieveFactor) return null
        return remote.tryRelieve(profile, current, servers.times, firstMs, nowMs)
    }

    private fun enqueue(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServiceServers,
        queue: ServiceQueue,
        nowMs: Long,
    ): Placement {
        val leftMs = profile.deadlineMs - nowMs
        // Other hosts take places of the same servers, so that the wait of others here tells more than a rate. Without
        // targets a request with a late deadline may wait long while others pass it, which says nothing of these.
        val seenWaitMs = if (profile.targetMs > 0) queue.longestWaitMs(profile, nowMs).toDouble() else 0.0
        val waitMs = maxOf(rules.predictWaitMs(queue.countAhead(profile), servers), seenWaitMs)
        val localMs = waitMs + rules.typicalMs(profile, servers.times)
        val isLate = localMs > leftMs * settings.refuseFactor
        remote.trySendAway(profile, current, servers.times, localMs, isLate, nowMs)?.let { return it }
        if (isLate) return refused(ErrorKind.DEADLINE_UNREACHABLE, (localMs - leftMs).toLong())
        if (queue.offer(profile)) return Placement.Queued
        return remote.trySendAway(profile, current, servers.times, Double.POSITIVE_INFINITY, true, nowMs)
            ?: refused(ErrorKind.OVERLOADED, waitMs.toLong())
    }

    private fun drain(
        queue: ServiceQueue,
        sink: MutableList<QueuedPlacement>,
        nowMs: Long,
        isExpiring: Boolean = false,
    ) {
        val first = sink.size
        if (isExpiring) {
            queue.expire({ endHopelessWait(it, nowMs) }, sink)
            val isLate = { profile: RequestProfile ->
                rules.isTargetMissed(profile, services.timesOf(profile.serviceName), nowMs)
            }
            queue.postpone(isLate, { sendLate(it, nowMs) }, sink)
        }
        queue.drain(serverChoice.window, { prefer(it, nowMs) }, { placeQueued(it, nowMs) }, sink)
        for (index in first until sink.size) {
            if (sink[index].placement is Placement.Refused) endQueued(sink[index].profile)
        }
    }

    private fun prefer(waiting: List<RequestProfile>, nowMs: Long): Int {
        val servers = snapshot.get().services[waiting[0].serviceName] ?: return 0
        return serverChoice.prefer(waiting, servers, nowMs)
    }

    private fun placeQueued(profile: RequestProfile, nowMs: Long): Placement? {
        refuseIfLate(profile, nowMs)?.let { return it }
        if (profile.isIsolated) return local.tryRunIsolated(profile, nowMs)?.let(Placement::Run)
        return local.tryRun(profile, nowMs)?.let(Placement::Run)
    }

    /** Ends the wait of a request that has nothing to wait for here, or has waited for as long as is of use. */
    private fun endHopelessWait(profile: RequestProfile, nowMs: Long): Placement? {
        refuseIfLate(profile, nowMs)?.let { return it }
        val isServed = profile.serviceName in snapshot.get().services
        val isWaitOver = rules.isWaitOver(profile, nowMs)
        if (isServed && !isWaitOver) return null
        return sendLate(profile, nowMs) ?: refused(if (isServed) ErrorKind.OVERLOADED else ErrorKind.NO_BACKEND_SERVER)
    }

    /** Sends a request away that is late here, to any region that can still serve it. */
    private fun sendLate(profile: RequestProfile, nowMs: Long): Placement? = remote.trySendAway(
        profile,
        snapshot.get(),
        services.timesOf(profile.serviceName),
        Double.POSITIVE_INFINITY,
        true,
        nowMs,
    )

    /** Refuses a queued request that would miss its deadline if it began now. */
    private fun refuseIfLate(profile: RequestProfile, nowMs: Long): Placement? {
        val isTooLate = rules.isTooLate(profile, services.timesOf(profile.serviceName), nowMs)
        return if (isTooLate) refused(ErrorKind.DEADLINE_UNREACHABLE) else null
    }

    /** Frees what a queued request held that was refused or withdrawn. */
    private fun endQueued(profile: RequestProfile) {
        callers.release(profile.callerName)
        if (!profile.isIsolated) return
        snapshot.get().services[profile.serviceName]?.let { local.dropClaims(profile, it) }
    }

    private fun refused(kind: ErrorKind, retryAfterMs: Long? = kind.retryAfterMs): Placement.Refused {
        val boundedMs = retryAfterMs?.coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        return Placement.Refused(RelayError(kind, retryAfterMs = boundedMs))
    }

    private companion object {
        private const val NOT_STARTED = Long.MIN_VALUE
        private const val PERMILLE = 1_000L
        private const val MIN_RETRY_MS = 100L
        private const val MAX_RETRY_MS = 60_000L
    }
}
