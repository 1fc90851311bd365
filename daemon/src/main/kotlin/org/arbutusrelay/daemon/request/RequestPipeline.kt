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

/** Runs a resolved request: crash suspects, ledger, attempts, record. */
public class RequestPipeline(
    private val attempts: RequestAttempts,
    private val gate: AtMostOnceExecutor,
    private val suspects: SuspectTracker,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
) {
    /** Runs [request] and passes its response to [sink]. */
    public suspend fun run(request: ResolvedRequest, sink: ResponseListener): AttemptEnd {
        val end = decideAndRun(request, sink)
        metrics.recordStage(Stage.TOTAL, clock.nowMs() - request.acceptedAtMs)
        record(end)
        request.span.end((end as? AttemptEnd.Failed)?.error?.kind?.id)
        return end
    }

    private suspend fun decideAndRun(request: ResolvedRequest, sink: ResponseListener): AttemptEnd {
        val key = request.ledgerKey
        return when {
            request.isIdempotent || request.isGrantedElsewhere -> attempt(request, sink)
            key == null -> refuse(ErrorKind.MISSING_IDEMPOTENCY_KEY)
            else -> gate.run(request, key, sink) { attempt(request, it) }
        }
    }

    /** Runs the request unless it is suspected; a resend of a key that may have run never gets here. */
    private suspend fun attempt(request: ResolvedRequest, sink: ResponseListener): AttemptEnd =
        attempts.run(request, sink) { suspects.decide(request.profile.digest, clock.nowMs()) }

    private fun refuse(kind: ErrorKind): AttemptEnd =
        AttemptEnd.Failed(RelayError(kind), AttemptResult.REFUSED, mayHaveRun = false)

    private fun record(end: AttemptEnd) {
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
