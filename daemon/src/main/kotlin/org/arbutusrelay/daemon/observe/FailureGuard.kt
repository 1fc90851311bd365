package org.arbutusrelay.daemon.observe

import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager
import org.arbutusrelay.core.relay.LogRateLimiter
import org.arbutusrelay.daemon.RelayClock

/**
 * Runs the steps of a loop or a link, so that the failure of one step does not end the steps that follow.
 *
 * A failure is logged under [name]; the number of log lines is limited.
 */
internal class FailureGuard(private val name: String) {
    private val logger = LogManager.getLogger(FailureGuard::class.java)
    private val clock = RelayClock()
    private val limiter = LogRateLimiter(MAX_LINES, WINDOW_MS)

    // Whatever the step throws, the loop that it belongs to must go on.
    @Suppress("TooGenericExceptionCaught")
    fun run(step: () -> Unit) {
        try {
            step()
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            record(e)
        }
    }

    /** Logs the failure of a step that was caught elsewhere. */
    fun record(failure: RuntimeException) {
        val suppressedLines = synchronized(limiter) { limiter.tryAcquire(clock.nowMs()) } ?: return
        logger.error("{} failed, {} more failures were not logged", name, suppressedLines, failure)
    }

    private companion object {
        const val MAX_LINES = 5
        const val WINDOW_MS = 60_000L
    }
}
