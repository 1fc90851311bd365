package org.arbutusrelay.standin.engine

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Simulates continuous batching: up to [EngineModel.capacity] concurrent requests, each of which slows the others.
 *
 * Queued requests start in the order of their priority (lowest value first), then of their arrival.
 */
internal class EngineScheduler(private val model: EngineModel) : AutoCloseable {
    private val timer: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS) { task ->
        Thread(task, "stand-in-engine").apply { isDaemon = true }
    }
    private val queue = mutableListOf<QueuedRun>()
    private var running = 0
    private var arrivalCount = 0L

    /** Factor applied to all durations, to simulate a slow engine. */
    @Volatile
    var slowdown: Double = 1.0

    @Synchronized
    fun running(): Int = running

    @Synchronized
    fun queued(): Int = queue.size

    /** Starts or queues [run]; returns false when the queue is full. */
    @Synchronized
    fun submit(run: EngineRun, uncachedTokens: Int, priority: Int): Boolean {
        if (running >= model.capacity && queue.size >= model.maxQueued) return false
        queue += QueuedRun(run, uncachedTokens, priority, arrivalCount++)
        startNext()
        return true
    }

    override fun close() {
        timer.shutdownNow()
    }

    @Synchronized
    private fun startNext() {
        while (running < model.capacity && queue.isNotEmpty()) {
            val next = queue.minWith(compareBy(QueuedRun::priority, QueuedRun::arrivalNumber))
            queue -= next
            running++
            schedule(model.prefillMicrosPerToken * next.uncachedTokens) { generate(next.run) }
        }
    }

    private fun generate(run: EngineRun) {
        if (run.isCancelled() || run.isDone()) return finish()
        run.advance()
        if (run.isDone()) return finish()
        val micros = model.decodeMicrosPerToken + model.decodeMicrosPerConcurrentRequest * (running() - 1)
        schedule(micros) { generate(run) }
    }

    @Synchronized
    private fun finish() {
        running--
        startNext()
    }

    private fun schedule(micros: Long, task: () -> Unit) {
        if (!timer.isShutdown) timer.schedule(task, (micros * slowdown).toLong(), TimeUnit.MICROSECONDS)
    }

    private class QueuedRun(val run: EngineRun, val uncachedTokens: Int, val priority: Int, val arrivalNumber: Long)

    private companion object {
        private const val TIMER_THREADS = 2
    }
}
