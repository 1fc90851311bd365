package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import org.arbutusrelay.core.request.RequestId
import org.arbutusrelay.core.routing.AttemptResult
import org.arbutusrelay.core.routing.PlacedAttempt
import org.arbutusrelay.core.routing.Placement
import org.arbutusrelay.core.routing.QueuedPlacement
import org.arbutusrelay.core.routing.RequestProfile
import org.arbutusrelay.core.routing.RequestScheduler
import org.arbutusrelay.daemon.RelayClock
import java.util.concurrent.ConcurrentHashMap

/** Suspends requests until the scheduler places or rejects them. */
public class PlacementQueue(private val scheduler: RequestScheduler, private val clock: RelayClock) {
    private val pending = ConcurrentHashMap<RequestId, CompletableDeferred<Placement>>()

    /** Returns the placement or the refusal of a request; suspends while the request is queued. */
    public suspend fun place(profile: RequestProfile): Placement {
        val decision = CompletableDeferred<Placement>()
        pending[profile.id] = decision
        val placement = scheduler.submit(profile, clock.nowMs())
        if (placement !is Placement.Queued) {
            pending.remove(profile.id)
            return placement
        }
        return try {
            decision.await()
        } catch (e: CancellationException) {
            cancelQueued(profile, decision)
            throw e
        }
    }

    /** Reports the end of an attempt to the scheduler and delivers the placements that the freed slot allows. */
    public fun complete(attempt: PlacedAttempt, result: AttemptResult): Unit =
        deliver(scheduler.complete(attempt, result, clock.nowMs()))

    /** Delivers placements that are due; must be called at least every 20 ms. */
    public fun poll(): Unit = deliver(scheduler.poll(clock.nowMs()))

    private fun cancelQueued(profile: RequestProfile, decision: CompletableDeferred<Placement>) {
        pending.remove(profile.id)
        scheduler.cancel(profile)
        // A placement made concurrently with the cancellation still occupies a slot.
        if (decision.isCompleted && !decision.isCancelled) decision.completedAttempt()?.let(::releaseSlot)
    }

    private fun deliver(decisions: List<QueuedPlacement>) {
        for (decision in decisions) {
            val isDelivered = pending.remove(decision.profile.id)?.complete(decision.placement) ?: false
            if (!isDelivered) decision.placement.attempt()?.let(::releaseSlot)
        }
    }

    private fun releaseSlot(attempt: PlacedAttempt) = complete(attempt, AttemptResult.CANCELLED)

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun CompletableDeferred<Placement>.completedAttempt(): PlacedAttempt? = getCompleted().attempt()

    private fun Placement.attempt(): PlacedAttempt? = when (this) {
        is Placement.Run -> attempt
        is Placement.Forward -> attempt
        else -> null
    }
}
