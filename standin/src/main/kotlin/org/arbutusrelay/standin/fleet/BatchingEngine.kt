package org.arbutusrelay.standin.fleet

import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.standin.policy.VirtualClock

/** Sizes and speeds of an engine. */
internal data class BatchingEngineSpec(
    val slots: Int = 24,
    /** Time of one step without prefill, in milliseconds; each step produces one token for each running request. */
    val stepMs: Double = 3.5,
    /** Prompt tokens that are prefilled in one millisecond. */
    val prefillTokensPerMs: Double = 45.0,
    /** Maximum number of prompt tokens that one step prefills. */
    val chunkTokens: Int = 2_048,
    val cacheTokens: Int = 150_000,
    /** Tokens that one event of a stream holds. */
    val tokensPerEvent: Int = 1,
    /** Speeds of the engines in turn, as a factor. */
    val speeds: List<Double> = listOf(1.0),
    /** Other work on the machine of an engine, or null if there is none. */
    val disturbance: DisturbanceSpec? = null,
    /** True when prompts of higher priority are prefilled before those that wait with them. */
    val prioritisesPrefill: Boolean = false,
)

/** Other work on the machine of an engine, which takes place a [share] of the time. */
internal data class DisturbanceSpec(
    val share: Double = 0.15,
    val lengthMs: Double = 600.0,
    /** Factor by which a step takes longer meanwhile. */
    val factor: Double = 2.5,
)

/**
 * Simulates an engine that prefills prompts in chunks between the tokens of its running requests, in virtual time.
 *
 * Waiting requests are admitted by priority, and the prompts of admitted ones are prefilled one after another. While a
 * chunk is prefilled, all running requests wait, so a queue of long prompts delays first bytes and responses alike.
 */
internal class BatchingEngine(
    val name: String,
    private val region: String,
    private val spec: BatchingEngineSpec,
    private val clock: VirtualClock,
    private val speed: Double = 1.0,
    seed: Long = 0,
) {
    private val disturbance = spec.disturbance?.let { Disturbance(it, seed) }

    /** A request that was sent to the engine. */
    class Job(
        val request: FleetRequest,
        val deadlineMs: Double,
        /** Engine to import the shared prefix from, if it has it. */
        val importSource: BatchingEngine?,
        val onFirstByte: () -> Unit,
        /** Called once, with false when the deadline passed first. */
        val onEnd: (Boolean) -> Unit,
    ) {
        var uncachedTokens = 0
        var producedTokens = 0
    }

    private val waiting = ArrayDeque<Job>()
    private val prefilling = ArrayDeque<Job>()
    private val decoding = ArrayList<Job>()
    private val cache = LinkedHashMap<Long, Int>(INITIAL_CACHE_SIZE, CACHE_LOAD_FACTOR, true)
    private var isStepping = false

    /** Shared tokens that were prefilled because neither this engine nor the import source had them cached. */
    var recomputedTokens = 0L
        private set

    /** Time during which the engine was busy, in milliseconds. */
    var busyMs = 0.0
        private set

    val running: Int get() = prefilling.size + decoding.size
    val queued: Int get() = waiting.size

    /** Tokens in prefill while responses are decoded. */
    val prefillTokens: Int get() = if (decoding.isEmpty()) 0 else prefilling.sumOf { it.uncachedTokens }

    /** Returns the announcement with [version], which tells no load. */
    fun state(version: Long): BackendServerState = BackendServerState(
        name, "drafting", region, "$region-a", name, 1, version, spec.slots.toLong(), emptyList(), emptyList(), "",
        running = 0, queued = 0, isLeaving = false, LEASE_MS,
    )

    fun submit(job: Job) {
        waiting.addLast(job)
        admit()
        if (!isStepping) step()
    }

    /** Ends a request whose caller has left, without calling [Job.onEnd]. */
    fun cancel(job: Job) {
        waiting.remove(job)
        prefilling.remove(job)
        decoding.remove(job)
    }

    private fun holds(prefix: Long) = prefix in cache

    private fun admit() {
        while (waiting.isNotEmpty() && running < spec.slots) {
            val job = waiting.minBy { it.request.kind.priority }
            waiting.remove(job)
            val request = job.request
            val isCached = cache[request.prefix] != null || job.importSource?.holds(request.prefix) == true
            job.uncachedTokens = request.ownTokens + if (isCached) 0 else request.kind.sharedTokens
            if (!isCached) recomputedTokens += request.kind.sharedTokens
            cache[request.prefix] = request.kind.sharedTokens
            evictOldest()
            prefilling.addLast(job)
        }
    }

    private fun evictOldest() {
        var excess = cache.values.sum() - spec.cacheTokens
        val oldest = cache.entries.iterator()
        while (excess > 0) {
            excess -= oldest.next().value
            oldest.remove()
        }
    }

    private fun step() {
        endOverdue(waiting)
        endOverdue(prefilling)
        endOverdue(decoding)
        admit()
        isStepping = running > 0
        if (!isStepping) return
        val prefilled = nextPrefill()
        val chunk = minOf(spec.chunkTokens, prefilled?.uncachedTokens ?: 0)
        val durationMs =
            (spec.stepMs + chunk / spec.prefillTokensPerMs) / speed * (disturbance?.factorAt(clock.nowMs) ?: 1.0)
        busyMs += durationMs
        val produced = decoding.toList()
        clock.schedule(clock.nowMs + durationMs) {
            endStep(prefilled, chunk, produced)
            step()
        }
    }

    private fun endStep(prefilled: Job?, chunk: Int, produced: List<Job>) {
        for (job in produced) {
            job.producedTokens++
            if (job.producedTokens % spec.tokensPerEvent == 0) job.request.recordEvent(clock.nowMs)
            if (job.producedTokens < job.request.responseTokens || !decoding.remove(job)) continue
            job.onEnd(true)
        }
        val first = prefilled?.takeIf { it in prefilling } ?: return
        first.uncachedTokens -= chunk
        if (first.uncachedTokens > 0) return
        prefilling.remove(first)
        decoding += first
        first.request.recordEvent(clock.nowMs)
        first.onFirstByte()
    }

    private fun nextPrefill() =
        if (spec.prioritisesPrefill) prefilling.minByOrNull { it.request.kind.priority } else prefilling.firstOrNull()

    private fun endOverdue(jobs: MutableList<Job>) {
        val overdue = jobs.filter { it.deadlineMs <= clock.nowMs }
        if (overdue.isEmpty()) return
        jobs.removeAll(overdue)
        overdue.forEach { it.onEnd(false) }
    }

    private companion object {
        const val LEASE_MS = 60_000L
        const val INITIAL_CACHE_SIZE = 64
        const val CACHE_LOAD_FACTOR = 0.75f
    }
}
