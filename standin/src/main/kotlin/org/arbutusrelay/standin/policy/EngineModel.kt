package org.arbutusrelay.standin.policy

import org.arbutusrelay.schema.api.CacheEvent
import org.arbutusrelay.schema.message.BackendServerState

/**
 * Simulates an engine with continuous batching and a bounded prefix cache, in virtual time.
 *
 * Requests that exceed the slots are queued in arrival order. Prompts are prefilled sequentially. The decode time per
 * token is fixed for each request by the batch size at the start of its decoding.
 */
internal class EngineModel(
    val name: String,
    private val region: String,
    private val workload: Workload,
    private val clock: VirtualClock,
) {
    private val spec = workload.engine

    /** A request submitted to the engine. */
    class Job(
        val hashes: List<Long>,
        val promptTokens: Int,
        val responseTokens: Int,
        val onFirstByte: () -> Unit,
        /** Called with the number of cached prompt tokens, or null when the engine failed. */
        val onEnd: (Int?) -> Unit,
    )

    var incarnation = 1L
        private set
    var isUp = true
        private set
    var slowdownFactor = 1.0
    var busySlotMs = 0.0
        private set

    /** Cache events since the last call of [drainEvents]. */
    private val events = ArrayList<CacheEvent>()
    private var sequence = 0L
    private var version = 0L
    private val cache = LinkedHashMap<Long, Unit>(INITIAL_CACHE_CAPACITY, CACHE_LOAD_FACTOR, true)
    private val running = LinkedHashSet<Job>()
    private val waiting = ArrayDeque<Job>()
    private var prefillAvailableMs = 0.0

    fun submit(job: Job) {
        if (!isUp) return job.onEnd(null)
        if (running.size >= spec.slots) waiting.addLast(job) else start(job)
    }

    fun fail() {
        isUp = false
        val interrupted = running + waiting
        running.clear()
        waiting.clear()
        cache.clear()
        events.clear()
        sequence = 0
        interrupted.forEach { it.onEnd(null) }
    }

    fun restart() {
        isUp = true
        incarnation++
        prefillAvailableMs = 0.0
    }

    fun report(): BackendServerState = BackendServerState(
        name, workload.service, region, "$region-a", "http://$name", incarnation, ++version, spec.slots.toLong(),
        emptyList(), emptyList(), "general", running.size.toLong(), waiting.size.toLong(), false, LEASE_DURATION_MS,
    )

    fun drainEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    private fun start(job: Job) {
        running += job
        val startMs = clock.nowMs
        val blocks = job.hashes.takeWhile { it in cache }.size
        val cached = if (job.hashes.isEmpty()) 0 else (job.promptTokens.toLong() * blocks / job.hashes.size).toInt()
        val prefillMs = (job.promptTokens - cached) * spec.prefillUs * slowdownFactor / Workload.MS_PER_SECOND
        prefillAvailableMs = maxOf(prefillAvailableMs, startMs) + prefillMs
        val jobIncarnation = incarnation
        clock.schedule(prefillAvailableMs) {
            if (job !in running || jobIncarnation != incarnation) return@schedule
            storeInCache(job.hashes)
            job.onFirstByte()
            val batchFactor = 1 + spec.batchSlope * running.size / spec.slots
            val decodeMs = job.responseTokens * spec.decodeUs * batchFactor * slowdownFactor / Workload.MS_PER_SECOND
            clock.schedule(clock.nowMs + decodeMs) { if (jobIncarnation == incarnation) complete(job, cached, startMs) }
        }
    }

    private fun complete(job: Job, cached: Int, startMs: Double) {
        if (!running.remove(job)) return
        busySlotMs += clock.nowMs - startMs
        if (waiting.isNotEmpty()) start(waiting.removeFirst())
        job.onEnd(cached)
    }

    private fun storeInCache(hashes: List<Long>) {
        val inserted = hashes.filter { cache.put(it, Unit) == null }
        if (inserted.isNotEmpty()) events += CacheEvent(++sequence, CacheEvent.Type.STORED, inserted.map(::toHex))
        if (cache.size <= spec.cacheBlocks) return
        val evicted = cache.keys.take(cache.size - spec.cacheBlocks)
        evicted.forEach(cache::remove)
        events += CacheEvent(++sequence, CacheEvent.Type.REMOVED, evicted.map(::toHex))
    }

    private fun toHex(hash: Long): String = hash.toULong().toString(HEX_RADIX)

    private companion object {
        private const val INITIAL_CACHE_CAPACITY = 1_024
        private const val CACHE_LOAD_FACTOR = 0.75f
        private const val LEASE_DURATION_MS = 3_000L
        private const val HEX_RADIX = 16
    }
}
