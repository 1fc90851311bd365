package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage

/** Executes a resolved request: acquires the ledger grant, runs the attempts and records metrics and the span. */
public class RequestPipeline(
    private val attempts: RequestAttempts,
    private val atMostOnceExecutor: AtMostOnceExecutor,
    private val suspects: SuspectTracker,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
) {
    /** Executes [request] and writes its response to [sink]. */
    public suspend fun run(request: ResolvedRequest, sink: ResponseListener): AttemptEnd {
        val end = execute(request, sink)
        metrics.recordStage(Stage.TOTAL, clock.nowMs() - request.acceptedAtMs)
        recordMetrics(end)
        request.span.end((end as? AttemptEnd.Failed)?.error?.kind?.id)
        return end
    }

    private suspend fun execute(request: ResolvedRequest, sink: ResponseListener): AttemptEnd {
        val key = request.ledgerKey
        return when {
            request.isIdempotent || request.isGrantedRemotely -> attempt(request, sink)
            key == null -> refused(ErrorKind.MISSING_IDEMPOTENCY_KEY)
            else -> atMostOnceExecutor.run(request, key, sink) { attempt(request, it) }
        }
    }

    /**
     * Runs the attempts, checking before each one whether the request is suspected of crashing backend servers.
     *
     * The ledger blocks a resend whose idempotency key may already have run, so such a resend never reaches this point.
     */
    private suspend fun attempt(request: ResolvedRequest, sink: ResponseListener): AttemptEnd =
        attempts.run(request, sink) { suspects.decide(request.profile.digest, clock.nowMs()) }

    private fun refused(kind: ErrorKind): AttemptEnd =
        AttemptEnd.Failed(RelayError(kind), AttemptResult.REFUSED, mayHaveRun = false)

    private fun recordMetrics(end: AttemptEnd) {
        when (end) {
            is AttemptEnd.Complete -> metrics.countOutcome(Outcome.RAN)

            is AttemptEnd.Cancelled -> metrics.countOutcome(Outcome.UNKNOWN)

            is AttemptEnd.Failed -> {
                metrics.countError(end.error.kind)
                metrics.countOutcome(end.error.kind.outcome)
            }
        }
    }
}
