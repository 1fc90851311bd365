package org.arbutusrelay.relay.ingress

import kotlinx.coroutines.delay

/**
 * Stops the service of an entry host without losing a request.
 *
 * Callers learn late that a host leaves and use their open connections until it is gone. The host therefore accepts
 * requests for the lifetime of their host lists, and then only those that certainly end before its process does. At the
 * end, a request without a response gets an error in place of a closed connection.
 */
internal class PlannedStop(
    private val state: StopState,
    private val callerServer: IngressServer,
    private val drain: ConnectionDrain,
    private val nowMs: () -> Long,
) {
    /**
     * Returns when no request is left, or at [endMs] on the monotonic clock; true if all requests have been completed.
     *
     * [hostListLifetimeMs] is the time for which callers use a host that has left their lists, in milliseconds.
     */
    suspend fun await(hostListLifetimeMs: Long, endMs: Long, openExchanges: () -> Int): Boolean {
        state.begin(nowMs() + hostListLifetimeMs, endMs - StopState.RESPONSE_GRACE_MS)
        delay(hostListLifetimeMs)
        drain.refuseUnsent()
        delay(LISTENER_CLOSE_DELAY_MS)
        drain.awaitAccepted()
        callerServer.stop()
        return drain.await(endMs, openExchanges)
    }

    private companion object {
        /** Callers that connect late are refused with a response rather than by a closed port. */
        const val LISTENER_CLOSE_DELAY_MS = 200L
    }
}
