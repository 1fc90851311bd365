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

/** Connects requests that wait with the decisions of the scheduler. */
public class PlacementQueue(private val scheduler: RequestScheduler, private val clock: RelayClock) {
    private val waiting = ConcurrentHashMap<RequestId, CompletableDeferred<Placement>>()

    /** Returns where the request runs, or why it is refused; waits while it is queued. */
    public suspend fun place(profile: RequestProfile): Placement {
        val decision = CompletableDeferred<Placement>()
        waiting[profile.id] = decision
        val placement = scheduler.submit(profile, clock.nowMs())
        if (placement !is Placement.Queued) {
            waiting.remove(profile.id)
            return placement
        }
        return try {
            decision.await()
        } catch (e: CancellationException) {
            withdraw(profile, decision)
            throw e
        }
    }

    /** Ends an attempt and passes on the decisions that this makes possible. */
    public fun complete(attempt: PlacedAttempt, result: AttemptResult): Unit =
        deliver(scheduler.complete(attempt, result, clock.nowMs()))

    /** Passes on the decisions that are due; called at least every 20 ms. */
    public fun poll(): Unit = deliver(scheduler.poll(clock.nowMs()))

    private fun withdraw(profile: RequestProfile, decision: CompletableDeferred<Placement>) {
        waiting.remove(profile.id)
        scheduler.cancel(profile)
        // A decision that crossed the cancellation still occupies its slot.
        if (decision.isCompleted && !decision.isCancelled) decision.getCompletedAttempt()?.let(::discard)
    }

    private fun deliver(decisions: List<QueuedPlacement>) {
        for (decision in decisions) {
            val isTaken = waiting.remove(decision.profile.id)?.complete(decision.placement) ?: false
            if (!isTaken) decision.placement.attempt()?.let(::discard)
        }
    }

    private fun discard(attempt: PlacedAttempt) = complete(attempt, AttemptResult.CANCELLED)

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun CompletableDeferred<Placement>.getCompletedAttempt(): PlacedAttempt? = getCompleted().attempt()

    private fun Placement.attempt(): PlacedAttempt? = when (this) {
        is Placement.Run -> attempt
        is Placement.Forward -> attempt
        else -> null
    }
}
