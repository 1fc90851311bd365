package org.arbutusrelay.daemon.request

import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.backend.ResponseListener
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage
import org.arbutusrelay.daemon.observe.Tracing

/**
 * Places a request and runs attempts until one completes or no further attempt is allowed.
 *
 * Idempotent requests are retried within their deadline and the retry budget. Non-idempotent requests are retried only
 * if the failed attempt definitely did not run. No request is retried after a byte of the response was delivered.
 */
public class RequestAttempts(
    private val scheduler: RequestScheduler,
    private val queue: PlacementQueue,
    factory: AttemptFactory,
    private val ownRegion: String,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
    private val tracing: Tracing,
    private val invariants: Invariants,
    private val revalidator: ManifestRevalidator,
) {
    private val hedgedRunner = HedgedAttemptRunner(scheduler, queue, factory, clock, metrics, tracing, invariants)

    /**
     * Runs [request] and writes its response to [sink].
     *
     * [decide] is called before each attempt, because the previous attempt may have crashed its backend server.
     */
    public suspend fun run(
        request: ResolvedRequest,
        sink: ResponseListener,
        decide: () -> SuspectDecision = { SuspectDecision.RUN },
    ): AttemptEnd {
        val claim = ResponseClaim(request, sink, invariants, metrics::countResponseDrop)
        var profile = request.profile
        var indeterminateEnd: AttemptEnd.Failed? = null
        var attempts = 0
        var mayRevalidate = true
        while (true) {
            val placement = place(request, profile, decide())
            val placed = placement.attempt()
            val end = when {
                placed == null -> refused(placement)
                !maySend(request, indeterminateEnd) -> return releaseUnsent(placed)
                else -> hedgedRunner.run(request, placed, claim)
            }
            if (end !is AttemptEnd.Failed) return end
            if (end.mayHaveRun && indeterminateEnd == null) indeterminateEnd = end
            val currentRegions = if (mayRevalidate && end.isManifestStale()) revalidator.revalidate(request) else null
            if (currentRegions != null) {
                mayRevalidate = false
                profile = profile.copy(allowedRegions = profile.allowedRegions.filter(currentRegions::contains))
                continue
            }
            val next = placed?.let { profile.excluding(it) }
            val isLast = claim.isClaimed || ++attempts >= MAX_ATTEMPTS
            if (next == null || isLast || !mayRetry(request, next, indeterminateEnd)) {
                return selectReportedEnd(request, end, indeterminateEnd)
            }
            metrics.countRetry()
            profile = next
        }
    }

    private suspend fun place(
        request: ResolvedRequest,
        profile: RequestProfile,
        decision: SuspectDecision,
    ): Placement {
        if (decision == SuspectDecision.REFUSE) return Placement.Refused(RelayError(ErrorKind.REQUEST_SUSPECTED))
        val span = tracing.startChild("queue", request.span)
        val startMs = clock.nowMs()
        val placement = queue.place(profile.copy(isIsolated = decision == SuspectDecision.RUN_ISOLATED))
        metrics.recordStage(Stage.QUEUE, clock.nowMs() - startMs)
        span.end((placement as? Placement.Refused)?.error?.kind?.id)
        return placement
    }

    private fun refused(placement: Placement): AttemptEnd.Failed {
        val error = (placement as? Placement.Refused)?.error ?: RelayError(ErrorKind.OVERLOADED)
        return AttemptEnd.Failed(error, AttemptResult.REFUSED, mayHaveRun = false)
    }

    private fun maySend(request: ResolvedRequest, indeterminateEnd: AttemptEnd.Failed?): Boolean =
        invariants.check(Guarantee.AT_MOST_ONCE, request.isIdempotent || indeterminateEnd == null) {
            "${request.id} was about to be sent again"
        }

    private fun releaseUnsent(placed: PlacedAttempt): AttemptEnd {
        queue.complete(placed, AttemptResult.CANCELLED)
        return AttemptEnd.Failed(RelayError(ErrorKind.OUTCOME_UNKNOWN), AttemptResult.CANCELLED, mayHaveRun = true)
    }

    private fun mayRetry(
        request: ResolvedRequest,
        next: RequestProfile,
        indeterminateEnd: AttemptEnd.Failed?,
    ): Boolean = when {
        !request.isIdempotent && indeterminateEnd != null -> false
        next.allowedRegions.isEmpty() -> false
        clock.nowMs() >= request.deadlineMs -> false
        else -> scheduler.tryRetry(next, clock.nowMs())
    }

    /** Returns the profile for a retry after [placed] failed; excludes the failed backend server or remote region. */
    private fun RequestProfile.excluding(placed: PlacedAttempt): RequestProfile =
        if (placed.region == ownRegion) {
            copy(triedBackendServers = triedBackendServers + placed.backendServer)
        } else {
            copy(allowedRegions = allowedRegions - placed.region)
        }

    /** Selects the failure to report; its outcome is `not_run` only if no attempt can have run. */
    private fun selectReportedEnd(
        request: ResolvedRequest,
        last: AttemptEnd.Failed,
        indeterminateEnd: AttemptEnd.Failed?,
    ): AttemptEnd {
        val reported =
            if (last.error.kind.outcome == Outcome.NOT_RUN && indeterminateEnd != null) indeterminateEnd else last
        val isNotRun = reported.error.kind.outcome == Outcome.NOT_RUN
        invariants.check(Guarantee.NOT_RUN_HONEST, !isNotRun || indeterminateEnd == null) {
            "${request.id} may have run and was about to be reported as ${reported.error.kind.id}"
        }
        return reported.copy(mayHaveRun = indeterminateEnd != null)
    }

    private fun AttemptEnd.Failed.isManifestStale() = error.kind == ErrorKind.MANIFEST_STALE && !mayHaveRun

    private fun Placement.attempt(): PlacedAttempt? = when (this) {
        is Placement.Run -> attempt
        is Placement.Forward -> attempt
        else -> null
    }

    private companion object {
        // Limits the cost of a request whose attempts all fail immediately, regardless of the retry budget.
        private const val MAX_ATTEMPTS = 4
    }
}
