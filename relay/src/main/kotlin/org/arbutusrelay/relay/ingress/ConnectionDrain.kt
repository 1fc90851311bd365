package org.arbutusrelay.relay.ingress

import io.netty.channel.EventLoop
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext

/**
 * Waits at a stop until every request that was accepted has its response.
 *
 * A request may still be on its way when the last response ends: its connection was accepted, or a part of it has been
 * read. A connection is therefore closed only after [quietMs] without a request.
 */
internal class ConnectionDrain(
    private val loop: EventLoop,
    private val connections: OpenConnections,
    private val state: StopState,
    private val nowMs: () -> Long,
    private val quietMs: Long = 250,
) {
    /** Refuses the requests that wait for a backend server and may not end before the process does. */
    suspend fun refuseUnsent(): Unit = withContext(loop.asCoroutineDispatcher()) { connections.refuseUnsent() }

    /** Waits until the connections of callers are accepted, because closing the listener resets those that are not. */
    suspend fun awaitAccepted(): Unit = withContext(loop.asCoroutineDispatcher()) { awaitRead() }

    /**
     * Closes quiet connections and waits for the others until [endMs]; returns true if no request was left.
     *
     * Requests that are left get an error. The connections that carry none are closed then: the process may still take
     * a while to end, and would leave what comes on them unread.
     */
    suspend fun await(endMs: Long, openExchanges: () -> Int): Boolean = withContext(loop.asCoroutineDispatcher()) {
        delay(quietMs)
        while (nowMs() < endMs && !(connections.isEmpty() && openExchanges() == 0)) {
            awaitRead()
            connections.closeQuiet(quietMs)
        }
        val isDrained = !connections.hasRequests() && openExchanges() == 0
        state.refuseAll()
        connections.failRequests()
        val flushEndMs = nowMs() + MAX_FLUSH_MS
        do {
            awaitRead()
            connections.closeQuiet(0)
        } while (connections.hasUnsentBytes() && nowMs() < flushEndMs)
        isDrained
    }

    /**
     * Returns after a pass of the event loop that has read what had arrived.
     *
     * After a pause of the process the timer may run before the sockets are read, and a connection on which a request
     * has waited for the whole pause looks quiet. So a late timer waits once more; a starved loop is always late, so
     * the number of times is limited.
     */
    private suspend fun awaitRead() {
        repeat(MAX_LATE_PASSES) {
            val startMs = nowMs()
            delay(POLL_MS)
            if (nowMs() - startMs <= MAX_PASS_MS) return
        }
    }

    private companion object {
        const val POLL_MS = 20L

        /** A pass of a loop that is not late takes a few milliseconds more than [POLL_MS]. */
        const val MAX_PASS_MS = 2 * POLL_MS
        const val MAX_LATE_PASSES = 3

        /** Less than the margin between the end of the drain and the end of the grace period. */
        const val MAX_FLUSH_MS = 200L
    }
}
