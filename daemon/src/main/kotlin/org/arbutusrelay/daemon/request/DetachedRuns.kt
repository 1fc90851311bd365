package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.DelicateCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.Semaphore

/**
 * Lets runs continue after their caller has stopped waiting, so that their responses can still be stored.
 *
 * At most [maxCount] detached runs exist at a time; further ones are cancelled. A graceful shutdown waits for them.
 * Each run must have its own time limit; see [ResolvedRequest.runDeadlineMs].
 */
public class DetachedRuns(
    private val scope: CoroutineScope,
    private val inFlight: InFlightRequests,
    // Each detached run blocks a thread, so the limit must stay below the number of threads not used by requests.
    maxCount: Int = 32,
) {
    private val permits = Semaphore(maxCount)

    /**
     * Returns the result of [run], or null if it takes longer than [waitMs]; the run is then detached.
     *
     * [run] is entered even if it was cancelled while it waited for a thread, so that it can give back what it holds.
     */
    @OptIn(DelicateCoroutinesApi::class)
    public suspend fun <T : Any> await(waitMs: Long, run: suspend () -> T): T? {
        val deferred = scope.async(start = CoroutineStart.ATOMIC) { run() }
        try {
            return withTimeoutOrNull(waitMs) { deferred.await() }.also { if (it == null) detach(deferred) }
        } catch (e: CancellationException) {
            detach(deferred)
            throw e
        }
    }

    private fun detach(deferred: Job) {
        if (!permits.tryAcquire()) return deferred.cancel()
        val slot = inFlight.trackDetachedRun()
        deferred.invokeOnCompletion {
            slot.close()
            permits.release()
        }
    }
}
