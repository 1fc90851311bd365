package org.arbutusrelay.daemon.request

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.Semaphore

/**
 * Lets runs go on after their caller has been answered, so that their responses can still be stored.
 *
 * At most [maxCount] runs do so at a time; further ones are cancelled. A graceful stop waits for them. Each run must
 * end by itself; see [ResolvedRequest.runUntilMs].
 */
public class DetachedRuns(
    private val scope: CoroutineScope,
    private val inFlight: InFlightRequests,
    // Each late run occupies a thread, so this stays below the threads that requests in flight leave spare.
    maxCount: Int = 32,
) {
    private val free = Semaphore(maxCount)

    /** Returns the result of [run], or null when it outlasts [waitMs] and goes on without the caller. */
    public suspend fun <T : Any> await(waitMs: Long, run: suspend () -> T): T? {
        val running = scope.async { run() }
        try {
            return withTimeoutOrNull(waitMs) { running.await() }.also { if (it == null) keep(running) }
        } catch (e: CancellationException) {
            keep(running)
            throw e
        }
    }

    private fun keep(running: Job) {
        if (!free.tryAcquire()) return running.cancel()
        val slot = inFlight.enterLate()
        running.invokeOnCompletion {
            slot.close()
            free.release()
        }
    }
}
