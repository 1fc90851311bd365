package org.arbutusrelay.daemon.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.daemon.RelayClock
import java.util.concurrent.atomic.AtomicBoolean

/** Counts the requests in flight, limits them to [max] and rejects new ones during shutdown. */
public class InFlightRequests(private val max: Long, private val clock: RelayClock) {
    private class State(val count: Long, val isStopping: Boolean)

    private val state = MutableStateFlow(State(0, isStopping = false))

    /** Time at which the last request was accepted, in milliseconds on the local monotonic clock. */
    @Volatile
    public var lastArrivalMs: Long = clock.nowMs()
        private set

    /** Number of requests in flight. */
    public val count: Long get() = state.value.count

    /** Admits a request until the returned handle is closed; fails with `SHUTTING_DOWN` or `OVERLOADED`. */
    public fun tryAdmit(): Either<RelayError, AutoCloseable> {
        while (true) {
            val current = state.value
            if (current.isStopping) return RelayError(ErrorKind.SHUTTING_DOWN).left()
            if (current.count >= max) return RelayError(ErrorKind.OVERLOADED, "too many requests in flight").left()
            if (!state.compareAndSet(current, State(current.count + 1, current.isStopping))) continue
            lastArrivalMs = clock.nowMs()
            return Slot().right()
        }
    }

    /** Counts a run that outlives its request, so that a graceful shutdown waits for it; the caller limits how many. */
    public fun trackDetachedRun(): AutoCloseable {
        state.update { State(it.count + 1, it.isStopping) }
        return Slot()
    }

    /** Rejects all further requests. */
    public fun stopAccepting(): Unit = state.update { State(it.count, isStopping = true) }

    /** Waits until no request is in flight; returns false if [timeoutMs] elapses first. */
    public suspend fun awaitIdle(timeoutMs: Long): Boolean =
        withTimeoutOrNull(timeoutMs) { state.first { it.count == 0L } } != null

    private inner class Slot : AutoCloseable {
        private val isClosed = AtomicBoolean(false)

        override fun close() {
            if (isClosed.compareAndSet(false, true)) state.update { State(it.count - 1, it.isStopping) }
        }
    }
}
