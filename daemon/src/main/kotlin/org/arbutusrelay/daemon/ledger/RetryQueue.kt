package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong

/**
 * Repeats actions until they succeed, with an exponential delay.
 *
 * Bounded: [add] returns false when [capacity] actions wait already.
 */
internal class RetryQueue(scope: CoroutineScope, private val capacity: Int = 4_096) {
    private val added = Channel<suspend () -> Boolean>(Channel.UNLIMITED)
    private val waiting = AtomicLong()

    init {
        scope.launch { run() }
    }

    /** Queues [action], which returns true when it succeeded; returns false when the queue is full. */
    fun add(action: suspend () -> Boolean): Boolean {
        if (waiting.incrementAndGet() > capacity) {
            waiting.decrementAndGet()
            return false
        }
        return added.trySend(action).isSuccess
    }

    private suspend fun run() {
        val open = ArrayDeque<suspend () -> Boolean>()
        var delayMs = MIN_DELAY_MS
        while (true) {
            if (open.isEmpty()) open.addLast(added.receive())
            while (open.size < capacity) open.addLast(added.tryReceive().getOrNull() ?: break)
            val batch = List(minOf(BATCH, open.size)) { open.removeFirst() }
            val results = coroutineScope { batch.map { async { it() } }.awaitAll() }
            waiting.addAndGet(-results.count { it }.toLong())
            batch.zip(results).forEach { (action, isDone) -> if (!isDone) open.addLast(action) }
            if (results.all { it }) {
                delayMs = MIN_DELAY_MS
            } else {
                delay(delayMs)
                delayMs = minOf(2 * delayMs, MAX_DELAY_MS)
            }
        }
    }

    private companion object {
        private const val BATCH = 64
        private const val MIN_DELAY_MS = 100L
        private const val MAX_DELAY_MS = 10_000L
    }
}
