package org.arbutusrelay.standin.policy

import org.arbutusrelay.schema.api.CacheEvent
import org.arbutusrelay.schema.message.BackendServerState

/**
 * Models an engine with continuous batching and a bounded prefix cache, in virtual time.
 *
 * Requests beyond the slots wait in arrival order. Prompts are prefilled one after another; the time of a response
 * token is that of the batch size when decoding begins.
 */
internal class EngineModel(
    val name: String,
    private val region: String,
    private val workload: Workload,
    private val clock: VirtualClock,
) {
    private val spec = workload.engine

    /** One request on the engine. */
    class Job(
        val hashes: List<Long>,
        val promptTokens: Int,
        val responseTokens: Int,
        val onFirstByte: () -> Unit,
        /** Called with the number of cached tokens, or null when the engine was lost. */
        val onEnd: (Int?) -> Unit,
    )

    var incarnation = 1L
        private set
    var isUp = true
        private set
    var slowFactor = 1.0
    var busySlotMs = 0.0
        private set

    /** Events since the last call of [takeEvents]. */
    private val events = ArrayList<CacheEvent>()
    private var sequence = 0L
    private var version = 0L
    private val cache = LinkedHashMap<Long, Unit>(INITIAL_BLOCKS, LOAD_FACTOR, true)
    private val running = LinkedHashSet<Job>()
    private val waiting = ArrayDeque<Job>()
    private var prefillFreeMs = 0.0

    fun submit(job: Job) {
        if (!isUp) return job.onEnd(null)
        if (running.size >= spec.slots) waiting.addLast(job) else start(job)
    }

    fun fail() {
        isUp = false
        val lost = running + waiting
        running.clear()
        waiting.clear()
        cache.clear()
        events.clear()
        sequence = 0
        lost.forEach { it.onEnd(null) }
    }

    fun restart() {
        isUp = true
        incarnation++
        prefillFreeMs = 0.0
    }

    fun report(): BackendServerState = BackendServerState(
        name, workload.service, region, "$region-a", "http://$name", incarnation, ++version, spec.slots.toLong(),
        emptyList(), emptyList(), "general", running.size.toLong(), waiting.size.toLong(), false, LEASE_MS,
    )

    fun takeEvents(): List<CacheEvent> = events.toList().also { events.clear() }

    private fun start(job: Job) {
        running += job
        val startedMs = clock.nowMs
        val blocks = job.hashes.takeWhile { it in cache }.size
        val cached = if (job.hashes.isEmpty()) 0 else (job.promptTokens.toLong() * blocks / job.hashes.size).toInt()
        val prefillMs = (job.promptTokens - cached) * spec.prefillUs * slowFactor / Workload.MS_PER_SECOND
        prefillFreeMs = maxOf(prefillFreeMs, startedMs) + prefillMs
        val epoch = incarnation
        clock.at(prefillFreeMs) {
            if (job !in running || epoch != incarnation) return@at
            store(job.hashes)
            job.onFirstByte()
            val slope = 1 + spec.batchSlope * running.size / spec.slots
            val decodeMs = job.responseTokens * spec.decodeUs * slope * slowFactor / Workload.MS_PER_SECOND
            clock.at(clock.nowMs + decodeMs) { if (epoch == incarnation) end(job, cached, startedMs) }
        }
    }

    private fun end(job: Job, cached: Int, startedMs: Double) {
        if (!running.remove(job)) return
        busySlotMs += clock.nowMs - startedMs
        if (waiting.isNotEmpty()) start(waiting.removeFirst())
        job.onEnd(cached)
    }

    private fun store(hashes: List<Long>) {
        val stored = hashes.filter { cache.put(it, Unit) == null }
        if (stored.isNotEmpty()) events += CacheEvent(++sequence, CacheEvent.Type.STORED, stored.map(::hex))
        if (cache.size <= spec.cacheBlocks) return
        val removed = cache.keys.take(cache.size - spec.cacheBlocks)
        removed.forEach(cache::remove)
        events += CacheEvent(++sequence, CacheEvent.Type.REMOVED, removed.map(::hex))
    }

    private fun hex(hash: Long): String = hash.toULong().toString(HEX)

    private companion object {
        private const val INITIAL_BLOCKS = 1_024
        private const val LOAD_FACTOR = 0.75f
        private const val LEASE_MS = 3_000L
        private const val HEX = 16
    }
}
