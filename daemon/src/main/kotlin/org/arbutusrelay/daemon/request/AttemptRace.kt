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

/** Runs a placed attempt and, for idempotent kinds, a hedge; the first response wins and the other is cancelled. */
internal class AttemptRace(
    private val scheduler: RequestScheduler,
    private val queue: PlacementQueue,
    private val factory: AttemptFactory,
    private val clock: RelayClock,
    private val metrics: RelayMetrics,
    private val tracing: Tracing,
    private val invariants: Invariants,
) {
    private class Entrant(val placed: PlacedAttempt, val running: RunningAttempt)

    private class Finish(val entrant: Entrant, val end: AttemptEnd)

    suspend fun run(request: ResolvedRequest, first: PlacedAttempt, claim: ResponseClaim): AttemptEnd = coroutineScope {
        val finishes = Channel<Finish>(MAX_ENTRANTS)
        val open = mutableListOf(start(request, first, claim, finishes))
        var mayHedge = request.isIdempotent
        var worst: AttemptEnd? = null
        while (open.isNotEmpty()) {
            val finish = next(finishes, mayHedge && !claim.isTaken)
            if (finish == null) {
                scheduler.tryHedge(first, clock.nowMs())?.let { hedge ->
                    mayHedge = false
                    metrics.countHedge()
                    open += start(request, hedge, claim, finishes)
                }
                continue
            }
            open.remove(finish.entrant)
            if (finish.end is AttemptEnd.Complete || finish.end.isCallerDisconnected()) {
                open.forEach { it.running.cancel() }
                worst = finish.end
                break
            }
            worst = worse(worst, finish.end)
        }
        checkNotNull(worst) { "a race ends with the end of an attempt" }
    }

    private suspend fun next(finishes: Channel<Finish>, mayHedge: Boolean): Finish? =
        if (!mayHedge) finishes.receive() else awaitOrHedge(finishes)

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private suspend fun awaitOrHedge(finishes: Channel<Finish>): Finish? = select {
        finishes.onReceive { it }
        onTimeout(HEDGE_CHECK_MS) { null }
    }

    private fun CoroutineScope.start(
        request: ResolvedRequest,
        placed: PlacedAttempt,
        claim: ResponseClaim,
        finishes: Channel<Finish>,
    ): Entrant {
        val span = tracing.startChild("attempt", request.span, isClient = true)
        span.put("backend.server", placed.backendServer)
        span.put("region", placed.region)
        val entrant = Entrant(placed, factory.create(request, placed, span.traceParent))
        launch {
            var end: AttemptEnd = failedInside()
            try {
                if (isAllowed(request, placed)) {
                    end = entrant.running.run(claim.listener(placed) { recordFirstByte(placed) })
                } else {
                    end = AttemptEnd.Failed(RelayError(ErrorKind.INTERNAL), AttemptResult.CANCELLED, mayHaveRun = true)
                }
            } finally {
                span.end((end as? AttemptEnd.Failed)?.error?.kind?.id)
                queue.complete(placed, end.toResult())
            }
            finishes.send(Finish(entrant, end))
        }
        return entrant
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
        val isAway = placed.backendServer.isEmpty()
        return isRegionAllowed && isGranted &&
            invariants.check(Guarantee.SINGLE_HOP, !isAway || !request.profile.isForwarded) {
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

    /** Prefers the end that leaves the outcome open, so that a request is never reported as not run by mistake. */
    private fun worse(a: AttemptEnd?, b: AttemptEnd): AttemptEnd = when {
        a !is AttemptEnd.Failed -> b
        b is AttemptEnd.Failed && b.mayHaveRun && !a.mayHaveRun -> b
        else -> a
    }

    private fun failedInside(): AttemptEnd =
        AttemptEnd.Failed(RelayError(ErrorKind.INTERNAL), AttemptResult.CANCELLED, mayHaveRun = true)

    private companion object {
        private const val MAX_ENTRANTS = 2
        private const val HEDGE_CHECK_MS = 20L
    }
}
