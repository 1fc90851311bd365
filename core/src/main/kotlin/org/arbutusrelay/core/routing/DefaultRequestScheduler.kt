package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.CallerLimits
import org.arbutusrelay.core.admission.ShareBudget
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.api.CacheEvents
import org.arbutusrelay.schema.manifest.Caller
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Schedules requests by deadline, caller and predicted finish time.
 *
 * [callerOf] looks up a caller in the manifest in force; a caller that is not found has no limits. Decisions read an
 * immutable snapshot and atomic counters; only queueing takes a lock, one for each service. Resubmitted requests (those
 * with tried backend servers among them) and forwarded ones do not count again, neither against the rate limit nor for
 * the budgets that are shares of the requests.
 */
public class DefaultRequestScheduler(
    callerOf: (String) -> Caller?,
    private val invariants: Invariants = Invariants(),
    private val settings: SchedulerSettings = SchedulerSettings(),
    private val serverSelector: ServerSelector = EarliestFinishServerSelector(),
    regionSelector: RegionSelector = EarliestFinishRegionSelector(),
) : RequestScheduler,
    SchedulerView {
    private val snapshot = AtomicReference(SchedulerSnapshot.EMPTY)
    private val latestMs = AtomicLong()
    private val startedAtMs = AtomicLong(NOT_STARTED)
    private val services = PerServiceState(settings)
    private val attempts = OpenAttempts()
    private val callers = CallerLimits(callerOf)
    private val hedgeBudget = ShareBudget()
    private val forwardBudget = ShareBudget()
    private val deadlinePolicy = DeadlinePolicy(settings)
    private val builder = SnapshotBuilder(settings, services::timesOf)
    private val streamEnd = StreamEndPolicy(settings)
    private val refusals = Refusals()
    private val local = LocalPlacement(serverSelector, attempts, invariants, streamEnd, snapshot::get)
    private val remote = RemotePlacement(regionSelector, attempts, invariants, forwardBudget, streamEnd)
    private val spillover = RegionSpillover(remote, serverSelector, settings)
    private val queueDecisions = QueueDecisions(
        snapshot::get, services, callers, deadlinePolicy, streamEnd, refusals, local, remote, serverSelector,
    )

    override fun updateTable(table: RoutingTable): Unit = synchronized(builder) {
        val nowMs = latestMs.get()
        services.limitRetryBurst(table.maxRetryBurst ?: settings.maxRetryBurst)
        val isStarting = startedAtMs.get() == NOT_STARTED || nowMs - startedAtMs.get() < settings.rampMs
        snapshot.set(builder.build(snapshot.get(), table, nowMs, isStarting))
    }

    override fun submit(profile: RequestProfile, nowMs: Long): Placement {
        recordTime(nowMs)
        if (profile.deadlineMs <= nowMs) return refused(ErrorKind.DEADLINE_UNREACHABLE)
        val isCounted = profile.isResubmitted || profile.isForwarded || profile.triedBackendServers.isNotEmpty()
        val waitMs = callers.tryAcquire(profile.callerName, nowMs, isRateExempt = isCounted)
        if (waitMs > 0) return refused(ErrorKind.CALLER_LIMIT, waitMs)
        if (!isCounted) recordRequest(profile)
        val placement = placeNew(profile, nowMs)
        if (placement is Placement.Refused) callers.release(profile.callerName)
        return placement
    }

    override fun recordFirstByte(attempt: PlacedAttempt, nowMs: Long) {
        val open = attempts.find(attempt.attemptNumber) ?: return
        open.firstByteMs = nowMs
        open.firstByteSpeed = open.speedAt(nowMs)
        open.endPending()
        AttemptRecorder.recordWait(open, attempt, nowMs)
    }

    /** Records that [count] more events of the stream of [attempt] have arrived. */
    public fun recordEvents(attempt: PlacedAttempt, count: Int, nowMs: Long) {
        attempts.find(attempt.attemptNumber)?.recordEvents(count, nowMs)
    }

    override fun complete(attempt: PlacedAttempt, result: AttemptResult, nowMs: Long): List<QueuedPlacement> {
        recordTime(nowMs)
        val open = attempts.remove(attempt.attemptNumber) ?: return emptyList()
        open.endPending()
        AttemptRecorder.end(open, attempt, result, nowMs)
        if (!attempt.isHedge) callers.release(attempt.profile.callerName)
        val queue = services.queues[attempt.profile.serviceName]
        if (queue == null || queue.size == 0) return emptyList()
        return ArrayList<QueuedPlacement>().also { queueDecisions.drain(queue, it, nowMs) }
    }

    override fun poll(nowMs: Long): List<QueuedPlacement> {
        recordTime(nowMs)
        var placed: MutableList<QueuedPlacement>? = null
        for (queue in services.queues.values) {
            if (queue.size == 0) continue
            val sink = placed ?: ArrayList<QueuedPlacement>().also { placed = it }
            queueDecisions.drain(queue, sink, nowMs, isExpiring = true)
        }
        return placed.orEmpty()
    }

    override fun cancel(profile: RequestProfile): Boolean {
        if (services.queues[profile.serviceName]?.cancel(profile.id) != true) return false
        queueDecisions.release(profile)
        return true
    }

    override fun tryRetry(profile: RequestProfile, nowMs: Long): Boolean {
        val minTimeMs = deadlinePolicy.minTimeMs(profile, services.timesOf(profile.serviceName))
        return nowMs + minTimeMs <= profile.deadlineMs && services.retryBudgetOf(profile.serviceName).trySpend()
    }

    override fun tryHedge(attempt: PlacedAttempt, nowMs: Long): PlacedAttempt? {
        val open = attempts.find(attempt.attemptNumber) ?: return null
        val profile = attempt.profile
        val canHedge = profile.isIdempotent && !profile.isIsolated && !attempt.isHedge && open.slots != null
        val isWaiting = !open.isHedged.get() && open.firstByteMs == OpenAttempt.NO_FIRST_BYTE &&
            nowMs - attempt.placedAtMs >= open.predictedMs * settings.hedgeAfterFactor
        if (!canHedge || !isWaiting) return null
        if ((services.queues[profile.serviceName]?.size ?: 0) > 0 || !hedgeBudget.canSpend()) return null
        if (!open.isHedged.compareAndSet(false, true)) return null
        val hedge = local.tryHedge(attempt, nowMs)
        if (hedge == null) open.isHedged.set(false)
        // If another thread spends the last token first, this hedge exceeds the budget by one.
        if (hedge != null) hedgeBudget.trySpend()
        return hedge
    }

    override fun recordCacheEvents(backendServer: String, events: CacheEvents) {
        snapshot.get().slotsByName[backendServer]?.cacheSequence?.apply(events)
    }

    /** Records the load that a backend server reported in a response, and how long work takes there, in percent. */
    public fun recordLoad(
        backendServer: String,
        running: Long,
        queued: Long,
        nowMs: Long,
        workPercent: Long? = null,
    ) {
        val slots = snapshot.get().slotsByName[backendServer] ?: return
        slots.recordLoad(running, queued, nowMs)
        workPercent?.let { slots.currentSpeed.record(it, nowMs) }
    }

    /**
     * Records that the backend server of an open attempt asked this host to send nothing for [pauseMs] milliseconds.
     *
     * [spread], from 0 to 1, is drawn by the caller and prolongs the pause, so that the hosts that were sent away do
     * not return at once. A pause is not a failure.
     */
    public fun recordPause(attempt: PlacedAttempt, pauseMs: Long, spread: Double, nowMs: Long) {
        val spreadMs = (minOf(pauseMs, settings.maxPauseSpreadMs) * spread).toLong()
        attempts.find(attempt.attemptNumber)?.slots?.pauseUntil(nowMs + pauseMs + spreadMs)
    }

    /** Returns the number of backend servers that have asked this host for a pause which has not ended. */
    public fun pausedServers(nowMs: Long): Int = snapshot.get().slotsByName.values.count { it.pausedUntilMs > nowMs }

    /** Number of backend servers of this region that have named a limit which is in force. */
    public val limitedServers: Int get() = snapshot.get().slotsByName.values.count { it.turns.isLimited }

    /**
     * Returns true unless [profile] is known to have no server but those that it has tried, as a stream may that has to
     * go on at one software version.
     */
    public fun hasOtherServer(profile: RequestProfile, nowMs: Long): Boolean {
        if (profile.softwareVersion == null) return true
        val current = snapshot.get()
        val isLocal = current.table.region in profile.allowedRegions &&
            current.serversFor(profile)?.slots.orEmpty().any { it.name !in profile.triedBackendServers }
        return isLocal || (!profile.isForwarded && remote.hasUsableRegion(profile, current, nowMs))
    }

    override fun viewOf(name: String, nowMs: Long): ScheduledServer? =
        snapshot.get().slotsByName[name]?.view(nowMs)

    override fun loadPermille(): Long {
        val pools = snapshot.get().services.values
        val capacity = pools.sumOf { it.capacity }
        val queued = services.queues.values.sumOf { it.size }
        return if (capacity == 0) 0 else (pools.sumOf { it.load() } + queued) * PERMILLE / capacity
    }

    /**
     * Predicts the time of a request to [serviceName] under the current load, in milliseconds, for the region summary.
     */
    public fun predictedMs(serviceName: String): Long = services.timesOf(serviceName).meanMs().toLong()

    /** Tokens that the requests of this host hold in the memory of backend servers, or are expected to hold. */
    public fun reservedTokens(): Long = snapshot.get().slotsByName.values.sumOf { it.memory.reservedTokens }

    /** Number of requests refused for [cause] since the start. */
    public fun refusalCount(cause: RefusalCause): Long = refusals.count(cause)

    /** Number of attempts that hold a slot. */
    public fun openAttempts(): Int = attempts.size()

    /** Number of queued requests. */
    public fun queuedRequests(): Int = services.queues.values.sumOf { it.size }

    private fun recordTime(nowMs: Long) {
        latestMs.set(nowMs)
        if (startedAtMs.get() == NOT_STARTED) startedAtMs.compareAndSet(NOT_STARTED, nowMs)
    }

    private fun refused(kind: ErrorKind, retryAfterMs: Long? = kind.retryAfterMs) = refusals.of(kind, retryAfterMs)

    private fun recordRequest(profile: RequestProfile) {
        services.retryBudgetOf(profile.serviceName).recordRequest(settings.retryPermille)
        hedgeBudget.recordRequest(settings.hedgePermille)
        forwardBudget.recordRequest(snapshot.get().table.sentAwayPermille)
    }

    private fun placeNew(profile: RequestProfile, nowMs: Long): Placement {
        val current = snapshot.get()
        refusals.ofTooLarge(profile, current.table)?.let { return it }
        val localRegion = current.table.region
        val serviceTimes = services.timesOf(profile.serviceName)
        val isLocalAllowed = localRegion in profile.allowedRegions
        if (!isLocalAllowed || profile.allowedRegions.first() != localRegion) {
            remote.tryForwardHome(profile, current, serviceTimes, isLocalAllowed, nowMs)?.let { return it }
        }
        if (!isLocalAllowed) {
            return refused(if (profile.isForwarded) ErrorKind.FORWARD_REFUSED else ErrorKind.REGION_UNREACHABLE)
        }
        val servers = current.serversFor(profile)
        if (servers != null) {
            return queueDecisions.refuseIfClosedTooLong(profile, current, servers, nowMs)
                ?: placeLocally(profile, current, servers, nowMs)
        }
        return remote.tryForward(profile, current, serviceTimes, Double.POSITIVE_INFINITY, true, nowMs)
            ?: refused(ErrorKind.NO_BACKEND_SERVER)
    }

    private fun placeLocally(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServerPool,
        nowMs: Long,
    ): Placement {
        val minTimeMs = deadlinePolicy.minTimeMs(profile, servers.times)
        if (nowMs + minTimeMs > profile.deadlineMs) return refused(ErrorKind.DEADLINE_UNREACHABLE, minTimeMs.toLong())
        if (streamEnd.missMs(profile, servers, nowMs) != null) {
            remote.tryForward(profile, current, servers.times, Double.POSITIVE_INFINITY, true, nowMs)?.let { return it }
            queueDecisions.refuseIfEndMissed(profile, servers, nowMs)?.let { return it }
        }
        return placeOrEnqueue(profile, current, servers, nowMs)
    }

    private fun placeOrEnqueue(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServerPool,
        nowMs: Long,
    ): Placement {
        val queue = services.queueOf(profile.serviceName)
        if (profile.isIsolated) return if (queue.offer(profile)) Placement.Queued else refused(ErrorKind.OVERLOADED)
        spillover.place(profile, current, servers, nowMs)?.let { return it }
        // The queue may wait for servers that may not run this request.
        val isUnblocked = queue.size == 0 || profile.softwareVersion != null
        if (isUnblocked) local.tryRun(profile, nowMs)?.let { return Placement.Run(it) }
        return enqueue(profile, current, servers, queue, nowMs)
    }

    private fun enqueue(
        profile: RequestProfile,
        current: SchedulerSnapshot,
        servers: ServerPool,
        queue: ServiceQueue,
        nowMs: Long,
    ): Placement {
        val remainingMs = profile.deadlineMs - nowMs
        // Other hosts use slots of the same servers, so the observed queueing time is a better estimate than the
        // throughput of this host. Without targets, a request with a late deadline may wait long while others overtake
        // it, so its waiting time does not apply to them.
        val observedWaitMs = if (profile.targetMs > 0) queue.longestWaitMs(profile, nowMs).toDouble() else 0.0
        val ahead = queue.countAhead(profile)
        val turnMs = if (servers.isLimited) servers.nextSendMs(ahead, nowMs)?.let { it - nowMs } else null
        val waitMs = turnMs?.toDouble() ?: maxOf(deadlinePolicy.predictWaitMs(ahead, servers), observedWaitMs)
        val localMs = waitMs + deadlinePolicy.typicalTimeMs(profile, servers.times)
        val isLate = localMs > remainingMs * settings.refuseFactor
        remote.tryForward(profile, current, servers.times, localMs, isLate, nowMs)?.let { return it }
        if (isLate) {
            val roomMs = localMs - remainingMs
            return refusals.withRoom(RefusalCause.FULL, ErrorKind.DEADLINE_UNREACHABLE, profile, servers, roomMs, nowMs)
        }
        // One that would be refused after its maximum wait is refused now, while its caller has time to return.
        val isHopeless = servers.isMemoryKnown && deadlinePolicy.isMaxWaitExceeded(profile, nowMs + waitMs.toLong())
        if (!isHopeless && queue.offer(profile, costOf(profile, servers))) return Placement.Queued
        val cause = if (isHopeless) RefusalCause.FULL else RefusalCause.WAITED
        return remote.tryForward(profile, current, servers.times, Double.POSITIVE_INFINITY, true, nowMs)
            ?: refusals.withRoom(cause, ErrorKind.OVERLOADED, profile, servers, waitMs, nowMs)
    }

    /** Share of the service that a request uses, for the fairness between callers: by tokens if they are accounted. */
    private fun costOf(profile: RequestProfile, servers: ServerPool): Double =
        if (servers.isMemoryKnown) profile.memoryTokens / maxOf(1.0, servers.times.meanMemoryTokens()) else 1.0

    private companion object {
        private const val NOT_STARTED = Long.MIN_VALUE
        private const val PERMILLE = 1_000L
    }
}
