package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.BackendClient
import org.arbutusrelay.daemon.backend.BackendRequest
import org.arbutusrelay.daemon.backend.ResponseListener
import java.util.concurrent.atomic.AtomicBoolean

/** An attempt that can be run once and cancelled from any thread. */
public interface RunningAttempt {
    /** Runs the attempt until its end; [listener] may be called on another thread. */
    public suspend fun run(listener: ResponseListener): AttemptEnd

    /** Ends the attempt early. */
    public fun cancel()
}

/** Prepares the attempts of a request. */
public fun interface AttemptFactory {
    /** Returns the attempt, not yet sent; [traceParent] is the trace context of its hop. */
    public fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): RunningAttempt
}

/** Makes attempts at backend servers of this region; each occupies one thread of [threads] while it runs. */
public class BackendAttemptFactory(
    private val client: BackendClient,
    private val threads: CoroutineDispatcher,
    private val clock: RelayClock,
    private val suspects: SuspectTracker,
) : AttemptFactory {
    override fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): RunningAttempt =
        BackendAttempt(request, placed, traceParent)

    private inner class BackendAttempt(
        private val request: ResolvedRequest,
        private val placed: PlacedAttempt,
        traceParent: String,
    ) : RunningAttempt {
        private val exchange = client.exchange(backendRequest(request, placed, traceParent))

        override suspend fun run(listener: ResponseListener): AttemptEnd {
            val digest = request.profile.digest
            suspects.recordStart(digest, placed.backendServer, placed.incarnation, clock.nowMs())
            var end: AttemptEnd? = null
            try {
                return execute(listener).also { end = it }
            } finally {
                report(end, digest)
            }
        }

        /** Runs the exchange on a thread that only [BackendExchange.cancel] can free; cancellation calls that. */
        private suspend fun execute(listener: ResponseListener): AttemptEnd = coroutineScope {
            val isEnded = AtomicBoolean(false)
            val watcher = launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    awaitCancellation()
                } finally {
                    if (!isEnded.get()) exchange.cancel()
                }
            }
            try {
                withContext(threads) { exchange.run(listener) }
            } finally {
                isEnded.set(true)
                watcher.cancel()
            }
        }

        private fun report(end: AttemptEnd?, digest: String) = when {
            end.isCrash() -> suspects.recordCrash(digest, placed.backendServer, clock.nowMs())
            end.isAnswer() -> suspects.recordResponse(digest, placed.backendServer, clock.nowMs())
            else -> suspects.recordInconclusive(digest, placed.backendServer, clock.nowMs())
        }

        override fun cancel() = exchange.cancel()
    }

    private fun backendRequest(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): BackendRequest =
        BackendRequest(
            requestId = request.id.toString(),
            address = placed.address,
            method = request.incoming.method,
            target = request.incoming.target,
            headers = request.incoming.headers,
            body = if (request.isEngine) request.bodyWithPriority() else request.incoming.body,
            timeoutMs = request.runUntilMs - clock.nowMs(),
            isIdempotent = request.isIdempotent,
            isEngine = request.isEngine,
            traceParent = traceParent,
        )

    // A refused connection is no crash: nothing ran, and the circuit breaker handles it.
    private fun AttemptEnd?.isCrash(): Boolean =
        this is AttemptEnd.Failed && mayHaveRun && result == AttemptResult.CONNECTION_LOST

    private fun AttemptEnd?.isAnswer(): Boolean = when (this) {
        is AttemptEnd.Complete -> true
        is AttemptEnd.Failed -> mayHaveRun && result == AttemptResult.SERVER_ERROR
        else -> false
    }
}
