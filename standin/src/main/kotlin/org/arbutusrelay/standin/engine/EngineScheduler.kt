package org.arbutusrelay.standin.engine

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * Runs requests with continuous batching: at most [EngineModel.capacity] at a time, slower with each neighbour.
 *
 * Waiting requests start in the order of priority, then of arrival.
 */
internal class EngineScheduler(private val model: EngineModel) : AutoCloseable {
    private val timer: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS) { task ->
        Thread(task, "stand-in-engine").apply { isDaemon = true }
    }
    private val waiting = mutableListOf<Waiting>()
    private var running = 0
    private var arrivals = 0L

    /** Multiplies all times, so that a slow engine can be simulated. */
    @Volatile
    var slowdown: Double = 1.0

    @Synchronized
    fun running(): Int = running

    @Synchronized
    fun queued(): Int = waiting.size

    /** Starts or queues [run]; returns false when the queue is full. */
    @Synchronized
    fun submit(run: EngineRun, uncachedTokens: Int, priority: Int): Boolean {
        if (running >= model.capacity && waiting.size >= model.maxQueued) return false
        waiting += Waiting(run, uncachedTokens, priority, arrivals++)
        startNext()
        return true
    }

    override fun close() {
        timer.shutdownNow()
    }

    @Synchronized
    private fun startNext() {
        while (running < model.capacity && waiting.isNotEmpty()) {
            val next = waiting.minWith(compareBy(Waiting::priority, Waiting::arrival))
            waiting -= next
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

    private class Waiting(val run: EngineRun, val uncachedTokens: Int, val priority: Int, val arrival: Long)

    private companion object {
        private const val TIMER_THREADS = 2
    }
}
