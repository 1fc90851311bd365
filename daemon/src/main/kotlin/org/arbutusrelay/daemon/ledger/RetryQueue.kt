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
 * Retries actions with an exponential delay until they succeed.
 *
 * At most [capacity] actions are pending; [add] returns false beyond that.
 */
internal class RetryQueue(scope: CoroutineScope, private val capacity: Int = 4_096) {
    private val incoming = Channel<suspend () -> Boolean>(Channel.UNLIMITED)
    private val pendingCount = AtomicLong()

    init {
        scope.launch { run() }
    }

    /** Queues [action], which returns true on success; returns false when the queue is full. */
    fun add(action: suspend () -> Boolean): Boolean {
        if (pendingCount.incrementAndGet() > capacity) {
            pendingCount.decrementAndGet()
            return false
        }
        return incoming.trySend(action).isSuccess
    }

    private suspend fun run() {
        val pending = ArrayDeque<suspend () -> Boolean>()
        var delayMs = MIN_RETRY_DELAY_MS
        while (true) {
            if (pending.isEmpty()) pending.addLast(incoming.receive())
            while (pending.size < capacity) pending.addLast(incoming.tryReceive().getOrNull() ?: break)
            val batch = List(minOf(BATCH_SIZE, pending.size)) { pending.removeFirst() }
            val results = coroutineScope { batch.map { async { it() } }.awaitAll() }
            pendingCount.addAndGet(-results.count { it }.toLong())
            batch.zip(results).forEach { (action, isSuccessful) -> if (!isSuccessful) pending.addLast(action) }
            if (results.all { it }) {
                delayMs = MIN_RETRY_DELAY_MS
            } else {
                delay(delayMs)
                delayMs = minOf(2 * delayMs, MAX_RETRY_DELAY_MS)
            }
        }
    }

    private companion object {
        private const val BATCH_SIZE = 64
        private const val MIN_RETRY_DELAY_MS = 100L
        private const val MAX_RETRY_DELAY_MS = 10_000L
    }
}
