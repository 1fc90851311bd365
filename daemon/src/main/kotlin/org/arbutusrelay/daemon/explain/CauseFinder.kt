package org.arbutusrelay.daemon.explain

import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.core.relay.AttemptFailure
import org.arbutusrelay.schema.log.EventLine.Event

/** Tells from the lines about a request why it ended as it did. */
internal class CauseFinder(private val steps: List<LoggedLine>, private val relatedLines: List<LoggedLine>) {
    private val failedAttempts = steps.filter { it.line.event == Event.ATTEMPT_FAILED }
    private val failure = steps.lastOrNull { it.line.event == Event.REQUEST_FAILED }

    /** Returns the cause in one sentence, or null when the lines do not tell. */
    fun find(): String? = refusal() ?: lostRun() ?: lateRegion() ?: left() ?: failure?.let(::plainFailure)

    private fun refusal(): String? {
        val line = failure?.line?.takeIf { it.outcome == Outcome.NOT_RUN.id && failedAttempts.isEmpty() } ?: return null
        val waited = steps.firstOrNull { it.line.event == Event.REQUEST_QUEUED }?.line
        val queue = waited?.let { "it waited with ${it.waiting} requests on the host and " }.orEmpty()
        return "refused without an attempt after ${line.ageMs} ms: ${queue}ended with ${line.kind}" +
            line.detail?.let { " ($it)" }.orEmpty()
    }

    private fun lostRun(): String? {
        if (failure == null) return null
        val lost =
            failedAttempts.lastOrNull {
                it.line.failure == AttemptFailure.UNKNOWN.id &&
                    !it.line.backendServer.isNullOrEmpty()
            }
                ?: return null
        val server = lost.line.backendServer
        val restart = relatedLines.lastOrNull {
            it.line.backendServer == server && it.line.event == Event.BACKEND_SERVER_CHANGED &&
                (it.line.incarnation ?: 0) > (lost.line.incarnation ?: 0)
        }
        val isGone = relatedLines.any { it.line.backendServer == server && it.line.event == Event.BACKEND_SERVER_LOST }
        val fate = when {
            restart != null -> "; it came back as incarnation ${restart.line.incarnation} at ${restart.time}"
            isGone -> "; it was not heard of again"
            else -> ""
        }
        return "lost with backend server $server after ${lost.line.attemptAgeMs} ms (${lost.line.detail})$fate"
    }

    private fun lateRegion(): String? {
        val away = failedAttempts.firstOrNull { it.line.backendServer.isNullOrEmpty() } ?: return null
        val end = steps.lastOrNull { it.line.event in setOf(Event.REQUEST_ANSWERED, Event.REQUEST_FAILED) }
        val region = away.line.region
        return "region $region did not serve it for ${away.line.attemptAgeMs} ms (${away.line.detail}); it ended " +
            "after ${end?.line?.ageMs ?: "?"} ms"
    }

    private fun left(): String? = steps.lastOrNull { it.line.event == Event.CALLER_LEFT }
        ?.let { "the caller left after ${it.line.ageMs} ms and ${it.line.attempts} attempts" }

    private fun plainFailure(end: LoggedLine): String =
        "ended with ${end.line.kind} after ${end.line.ageMs} ms" + end.line.detail?.let { " ($it)" }.orEmpty()
}
