package org.arbutusrelay.daemon.explain

import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.schema.log.EventLine.Event

/** Derives the cause of a request's result from the log lines about it. */
internal class CauseFinder(private val steps: List<LoggedLine>, private val relatedLines: List<LoggedLine>) {
    private val failedAttempts = steps.filter { it.line.event == Event.ATTEMPT_FAILED }
    private val failure = steps.lastOrNull { it.line.event == Event.REQUEST_FAILED }

    /** Returns the cause in one sentence, or null when it cannot be determined from the lines. */
    fun find(): String? = describeRefusal()
        ?: describeLostAttempt()
        ?: describeFailedForward()
        ?: describeCallerDisconnect()
        ?: failure?.let(::describeFailure)

    private fun describeRefusal(): String? {
        val line = failure?.line?.takeIf { it.outcome == Outcome.NOT_RUN.id && failedAttempts.isEmpty() } ?: return null
        val queued = steps.firstOrNull { it.line.event == Event.REQUEST_QUEUED }?.line
        val queue = queued?.let { "it waited with ${it.waiting} requests on the host and " }.orEmpty()
        return "refused without an attempt after ${line.ageMs} ms: ${queue}ended with ${line.kind}" +
            line.detail?.let { " ($it)" }.orEmpty()
    }

    private fun describeLostAttempt(): String? {
        if (failure == null) return null
        val attempt =
            failedAttempts.lastOrNull {
                it.line.failure == AttemptFailure.UNKNOWN.id &&
                    !it.line.backendServer.isNullOrEmpty()
            }
                ?: return null
        val server = attempt.line.backendServer
        val restart = relatedLines.lastOrNull {
            it.line.backendServer == server && it.line.event == Event.BACKEND_SERVER_CHANGED &&
                (it.line.incarnation ?: 0) > (attempt.line.incarnation ?: 0)
        }
        val isLost = relatedLines.any { it.line.backendServer == server && it.line.event == Event.BACKEND_SERVER_LOST }
        val status = when {
            restart != null -> "; it came back as incarnation ${restart.line.incarnation} at ${restart.time}"
            isLost -> "; it was not heard of again"
            else -> ""
        }
        return "lost with backend server $server after ${attempt.line.attemptAgeMs} ms (${attempt.line.detail})$status"
    }

    private fun describeFailedForward(): String? {
        val failed = failedAttempts.firstOrNull { it.line.backendServer.isNullOrEmpty() } ?: return null
        val last = steps.lastOrNull { it.line.event in setOf(Event.REQUEST_ANSWERED, Event.REQUEST_FAILED) }
        val region = failed.line.region
        return "region $region did not serve it for ${failed.line.attemptAgeMs} ms (${failed.line.detail}); it ended " +
            "after ${last?.line?.ageMs ?: "?"} ms"
    }

    private fun describeCallerDisconnect(): String? = steps.lastOrNull { it.line.event == Event.CALLER_LEFT }
        ?.let { "the caller left after ${it.line.ageMs} ms and ${it.line.attempts} attempts" }

    private fun describeFailure(last: LoggedLine): String =
        "ended with ${last.line.kind} after ${last.line.ageMs} ms" + last.line.detail?.let { " ($it)" }.orEmpty()
}
