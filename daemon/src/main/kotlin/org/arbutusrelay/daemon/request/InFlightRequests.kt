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

/** Counts the requests in flight, at most [max], and refuses new ones once the host stops. */
public class InFlightRequests(private val max: Long, private val clock: RelayClock) {
    private class State(val open: Long, val isStopping: Boolean)

    private val state = MutableStateFlow(State(0, isStopping = false))

    /** When the last request was accepted, on the local monotonic clock, in milliseconds. */
    @Volatile
    public var lastArrivalMs: Long = clock.nowMs()
        private set

    /** Requests in flight. */
    public val count: Long get() = state.value.open

    /** Accepts a request, which ends when the result is closed; refuses with `SHUTTING_DOWN` or `OVERLOADED`. */
    public fun tryAdmit(): Either<RelayError, AutoCloseable> {
        while (true) {
            val seen = state.value
            if (seen.isStopping) return RelayError(ErrorKind.SHUTTING_DOWN).left()
            if (seen.open >= max) return RelayError(ErrorKind.OVERLOADED, "too many requests in flight").left()
            if (!state.compareAndSet(seen, State(seen.open + 1, seen.isStopping))) continue
            lastArrivalMs = clock.nowMs()
            return Slot().right()
        }
    }

    /** Counts work that outlives its request, so that a graceful stop waits for it; its owner bounds the number. */
    public fun enterLate(): AutoCloseable {
        state.update { State(it.open + 1, it.isStopping) }
        return Slot()
    }

    /** Refuses all later requests. */
    public fun stopAccepting(): Unit = state.update { State(it.open, isStopping = true) }

    /** Waits until no request is in flight; returns false when [timeoutMs] passes before. */
    public suspend fun awaitIdle(timeoutMs: Long): Boolean =
        withTimeoutOrNull(timeoutMs) { state.first { it.open == 0L } } != null

    private inner class Slot : AutoCloseable {
        private val isClosed = AtomicBoolean(false)

        override fun close() {
            if (isClosed.compareAndSet(false, true)) state.update { State(it.open - 1, it.isStopping) }
        }
    }
}
