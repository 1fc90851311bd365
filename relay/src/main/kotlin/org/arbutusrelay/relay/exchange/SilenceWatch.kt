package org.arbutusrelay.relay.exchange

import org.arbutusrelay.core.relay.ProgressTimeout
import org.arbutusrelay.core.route.Route

/**
 * Detects that the response to an attempt makes no progress within the timeout of its route.
 *
 * Time in which the relay does not read the response, because its caller does not, is not counted. Watches an attempt
 * while [isCurrent] returns true for it. [onSilent] receives the attempt and the time without progress in milliseconds;
 * it returns false to be called again after another timeout. Confined to the event loop.
 */
internal class SilenceWatch(
    private val context: RelayContext,
    private val isCurrent: (Attempt) -> Boolean,
    private val onSilent: (Attempt, Long) -> Boolean,
) {
    /** Starts to watch [attempt], a send of a request on [route]. */
    fun start(attempt: Attempt, route: Route) {
        val timeoutMs = ProgressTimeout.timeoutMs(route, attempt.hasProgressed)
        val idleMs = context.clock.nowMs() - attempt.lastProgressMs
        when {
            attempt.isPaused -> recheck(timeoutMs, attempt, route)
            idleMs < timeoutMs -> recheck(timeoutMs - idleMs, attempt, route)
            !onSilent(attempt, idleMs) -> recheck(timeoutMs, attempt, route)
        }
    }

    private fun recheck(delayMs: Long, attempt: Attempt, route: Route) {
        context.schedule(delayMs) { if (isCurrent(attempt)) start(attempt, route) }
    }
}
