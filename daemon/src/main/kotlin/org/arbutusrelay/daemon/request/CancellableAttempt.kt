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

/** A single-use attempt that can be cancelled from any thread. */
public interface CancellableAttempt {
    /** Runs the attempt to completion; [listener] may be called on another thread. */
    public suspend fun run(listener: ResponseListener): AttemptEnd

    /** Cancels the attempt. */
    public fun cancel()
}

/** Creates the attempts of a request. */
public fun interface AttemptFactory {
    /** Returns an attempt that is not yet sent; [traceParent] is the trace context of its hop. */
    public fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): CancellableAttempt
}

/** Creates attempts at backend servers of this region; each blocks a thread of [dispatcher] while it runs. */
public class BackendAttemptFactory(
    private val client: BackendClient,
    private val dispatcher: CoroutineDispatcher,
    private val clock: RelayClock,
    private val suspects: SuspectTracker,
) : AttemptFactory {
    override fun create(request: ResolvedRequest, placed: PlacedAttempt, traceParent: String): CancellableAttempt =
        BackendAttempt(request, placed, traceParent)

    private inner class BackendAttempt(
        private val request: ResolvedRequest,
        private val placed: PlacedAttempt,
        traceParent: String,
    ) : CancellableAttempt {
        private val exchange = client.exchange(backendRequest(request, placed, traceParent))

        override suspend fun run(listener: ResponseListener): AttemptEnd {
            val digest = request.profile.digest
            suspects.recordStart(digest, placed.backendServer, placed.incarnation, clock.nowMs())
            var end: AttemptEnd? = null
            try {
                return execute(listener).also { end = it }
            } finally {
                recordRunEnd(end, digest)
            }
        }

        /** Runs the blocking exchange; cancellation unblocks its thread through [BackendExchange.cancel]. */
        private suspend fun execute(listener: ResponseListener): AttemptEnd = coroutineScope {
            val isEnded = AtomicBoolean(false)
            val cancellationWatcher = launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    awaitCancellation()
                } finally {
                    if (!isEnded.get()) exchange.cancel()
                }
            }
            try {
                withContext(dispatcher) { exchange.run(listener) }
            } finally {
                isEnded.set(true)
                cancellationWatcher.cancel()
            }
        }

        private fun recordRunEnd(end: AttemptEnd?, digest: String) = when {
            end.isCrash() -> suspects.recordCrash(digest, placed.backendServer, clock.nowMs())
            end.isResponse() -> suspects.recordResponse(digest, placed.backendServer, clock.nowMs())
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
            timeoutMs = request.runDeadlineMs - clock.nowMs(),
            isIdempotent = request.isIdempotent,
            isEngine = request.isEngine,
            traceParent = traceParent,
        )

    // A refused connection does not count as a crash: nothing ran, and the circuit breaker handles it.
    private fun AttemptEnd?.isCrash(): Boolean =
        this is AttemptEnd.Failed && mayHaveRun && result == AttemptResult.CONNECTION_LOST

    private fun AttemptEnd?.isResponse(): Boolean = when (this) {
        is AttemptEnd.Complete -> true
        is AttemptEnd.Failed -> mayHaveRun && result == AttemptResult.SERVER_ERROR
        else -> false
    }
}
