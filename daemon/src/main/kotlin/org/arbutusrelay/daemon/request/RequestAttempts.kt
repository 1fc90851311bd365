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
 * Places a request and runs attempts until one completes or no further one is allowed.
 *
 * An idempotent request is tried again within its wait and the retry budget. A non-idempotent one is tried again only
 * after an attempt that certainly did not run. Nothing is tried again once a byte of the response was delivered.
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
    private val renewal: ManifestRenewal,
) {
    private val race = AttemptRace(scheduler, queue, factory, clock, metrics, tracing, invariants)

    /**
     * Runs [request] and passes its response to [sink].
     *
     * [decide] is asked before each attempt, because the attempt before may have crashed its backend server.
     */
    public suspend fun run(
        request: ResolvedRequest,
        sink: ResponseListener,
        decide: () -> SuspectDecision = { SuspectDecision.RUN },
    ): AttemptEnd {
        val claim = ResponseClaim(request, sink, invariants, metrics::countResponseDrop)
        var profile = request.profile
        var openEnd: AttemptEnd.Failed? = null
        var attempts = 0
        var mayRenew = true
        while (true) {
            val placement = place(request, profile, decide())
            val placed = placement.attempt()
            val end = when {
                placed == null -> refused(placement)
                !maySend(request, openEnd) -> return abandon(placed)
                else -> race.run(request, placed, claim)
            }
            if (end !is AttemptEnd.Failed) return end
            if (end.mayHaveRun && openEnd == null) openEnd = end
            val renewed = if (mayRenew && end.isManifestStale()) renewal.renew(request) else null
            if (renewed != null) {
                mayRenew = false
                profile = profile.copy(allowedRegions = profile.allowedRegions.filter(renewed::contains))
                continue
            }
            val next = placed?.let { profile.without(it) }
            val isLast = claim.isTaken || ++attempts >= MAX_ATTEMPTS
            if (next == null || isLast || !mayRetry(request, next, openEnd)) {
                return honest(request, end, openEnd)
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

    private fun maySend(request: ResolvedRequest, openEnd: AttemptEnd.Failed?): Boolean =
        invariants.check(Guarantee.AT_MOST_ONCE, request.isIdempotent || openEnd == null) {
            "${request.id} was about to be sent again"
        }

    private fun abandon(placed: PlacedAttempt): AttemptEnd {
        queue.complete(placed, AttemptResult.CANCELLED)
        return AttemptEnd.Failed(RelayError(ErrorKind.OUTCOME_UNKNOWN), AttemptResult.CANCELLED, mayHaveRun = true)
    }

    private fun mayRetry(request: ResolvedRequest, next: RequestProfile, openEnd: AttemptEnd.Failed?): Boolean = when {
        !request.isIdempotent && openEnd != null -> false
        next.allowedRegions.isEmpty() -> false
        clock.nowMs() >= request.deadlineMs -> false
        else -> scheduler.tryRetry(next, clock.nowMs())
    }

    /** Returns the profile for the attempt after [placed] failed; a region that failed is not chosen again. */
    private fun RequestProfile.without(placed: PlacedAttempt): RequestProfile =
        if (placed.region == ownRegion) {
            copy(triedBackendServers = triedBackendServers + placed.backendServer)
        } else {
            copy(allowedRegions = allowedRegions - placed.region)
        }

    /** Returns the end to report: an error of outcome `not_run` only when no attempt can have run. */
    private fun honest(request: ResolvedRequest, last: AttemptEnd.Failed, openEnd: AttemptEnd.Failed?): AttemptEnd {
        val reported = if (last.error.kind.outcome == Outcome.NOT_RUN && openEnd != null) openEnd else last
        val isNotRun = reported.error.kind.outcome == Outcome.NOT_RUN
        invariants.check(Guarantee.NOT_RUN_HONEST, !isNotRun || openEnd == null) {
            "${request.id} may have run and was about to be reported as ${reported.error.kind.id}"
        }
        return reported.copy(mayHaveRun = openEnd != null)
    }

    private fun AttemptEnd.Failed.isManifestStale() = error.kind == ErrorKind.MANIFEST_STALE && !mayHaveRun

    private fun Placement.attempt(): PlacedAttempt? = when (this) {
        is Placement.Run -> attempt
        is Placement.Forward -> attempt
        else -> null
    }

    private companion object {
        // Bounds what one request costs when every attempt fails at once, whatever the retry budget allows.
        private const val MAX_ATTEMPTS = 4
    }
}
