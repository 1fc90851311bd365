package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.RelayClock
import org.arbutusrelay.daemon.backend.AttemptEnd
import org.arbutusrelay.daemon.observe.RelayMetrics
import org.arbutusrelay.daemon.observe.Stage
import org.arbutusrelay.daemon.observe.Tracing

/** Runs an attempt and, for idempotent kinds, a hedge; the first response wins and the other attempt is cancelled. */
internal class HedgedAttemptRunner(
    private val scheduler: RequestScheduler,
    private val queue: PlacementQueue,
    private val factory: AttemptFactory,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
    private val tracing: Tracing,
    private val invariants: Invariants,
) {
    private class ActiveAttempt(val placed: PlacedAttempt, val attempt: CancellableAttempt)

    private class AttemptCompletion(val activeAttempt: ActiveAttempt, val end: AttemptEnd)

    suspend fun run(request: ResolvedRequest, first: PlacedAttempt, claim: ResponseClaim): AttemptEnd = coroutineScope {
        val completions = Channel<AttemptCompletion>(MAX_CONCURRENT_ATTEMPTS)
        val activeAttempts = mutableListOf(start(request, first, claim, completions))
        var mayHedge = request.isIdempotent
        var finalEnd: AttemptEnd? = null
        while (activeAttempts.isNotEmpty()) {
            val completion = awaitCompletion(completions, mayHedge && !claim.isClaimed)
            if (completion == null) {
                scheduler.tryHedge(first, clock.nowMs())?.let { hedge ->
                    mayHedge = false
                    metrics.countHedge()
                    activeAttempts += start(request, hedge, claim, completions)
                }
                continue
            }
            activeAttempts.remove(completion.activeAttempt)
            if (completion.end is AttemptEnd.Complete || completion.end.isCallerDisconnected()) {
                activeAttempts.forEach { it.attempt.cancel() }
                finalEnd = completion.end
                break
            }
            finalEnd = preferMayHaveRun(finalEnd, completion.end)
        }
        checkNotNull(finalEnd) { "no attempt of the request reported its end" }
    }

    private suspend fun awaitCompletion(
        completions: Channel<AttemptCompletion>,
        mayHedge: Boolean,
    ): AttemptCompletion? =
        if (!mayHedge) completions.receive() else awaitOrHedgeCheck(completions)

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private suspend fun awaitOrHedgeCheck(completions: Channel<AttemptCompletion>): AttemptCompletion? = select {
        completions.onReceive { it }
        onTimeout(HEDGE_CHECK_INTERVAL_MS) { null }
    }

    private fun CoroutineScope.start(
        request: ResolvedRequest,
        placed: PlacedAttempt,
        claim: ResponseClaim,
        completions: Channel<AttemptCompletion>,
    ): ActiveAttempt {
        val span = tracing.startChild("attempt", request.span, isClient = true)
        span.put("backend.server", placed.backendServer)
        span.put("region", placed.region)
        val activeAttempt = ActiveAttempt(placed, factory.create(request, placed, span.traceParent))
        launch {
            var end: AttemptEnd = internalFailure()
            try {
                if (isAllowed(request, placed)) {
                    end = activeAttempt.attempt.run(claim.listener(placed) { recordFirstByte(placed) })
                } else {
                    end = AttemptEnd.Failed(RelayError(ErrorKind.INTERNAL), AttemptResult.CANCELLED, mayHaveRun = true)
                }
            } finally {
                span.end((end as? AttemptEnd.Failed)?.error?.kind?.id)
                queue.complete(placed, end.toResult())
            }
            completions.send(AttemptCompletion(activeAttempt, end))
        }
        return activeAttempt
    }

    private fun isAllowed(request: ResolvedRequest, placed: PlacedAttempt): Boolean {
        val isRegionAllowed = invariants.check(
            Guarantee.ALLOWED_REGION,
            placed.region in request.profile.allowedRegions,
        ) {
            "${request.id} was placed in ${placed.region}"
        }
        val isGranted = invariants.check(Guarantee.AT_MOST_ONCE, request.isIdempotent || request.isGranted) {
            "${request.id} was about to be sent without a grant"
        }
        val isForward = placed.backendServer.isEmpty()
        return isRegionAllowed && isGranted &&
            invariants.check(Guarantee.SINGLE_HOP, !isForward || !request.profile.isForwarded) {
                "${request.id} was forwarded before"
            }
    }

    private fun recordFirstByte(placed: PlacedAttempt) {
        val nowMs = clock.nowMs()
        metrics.recordStage(Stage.FIRST_BYTE, nowMs - placed.placedAtMs)
        scheduler.recordFirstByte(placed, nowMs)
    }

    private fun AttemptEnd.isCallerDisconnected() = this is AttemptEnd.Cancelled && isCallerDisconnected

    private fun AttemptEnd.toResult(): AttemptResult = when (this) {
        is AttemptEnd.Complete -> AttemptResult.COMPLETE
        is AttemptEnd.Failed -> result
        is AttemptEnd.Cancelled -> AttemptResult.CANCELLED
    }

    /** Prefers a failure that may have run, so that a request that may have run is never reported as not run. */
    private fun preferMayHaveRun(a: AttemptEnd?, b: AttemptEnd): AttemptEnd = when {
        a !is AttemptEnd.Failed -> b
        b is AttemptEnd.Failed && b.mayHaveRun && !a.mayHaveRun -> b
        else -> a
    }

    private fun internalFailure(): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.INTERNAL), AttemptResult.CANCELLED, mayHaveRun = true)

    private companion object {
        private const val MAX_CONCURRENT_ATTEMPTS = 2
        private const val HEDGE_CHECK_INTERVAL_MS = 20L
    }
}
