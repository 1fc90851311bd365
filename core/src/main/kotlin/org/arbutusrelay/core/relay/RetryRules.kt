package org.arbutusrelay.core.relay

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind

/** Reason why an attempt on a backend server did not produce a response for the caller. */
public enum class AttemptFailure {
    /** No byte of the request was sent. */
    NOT_SENT,

    /** The backend server reported that it did not execute the request. */
    NOT_EXECUTED,

    /** The request was sent and may have been executed. */
    UNKNOWN,

    /** The backend server executed the request and responded with an error. */
    RAN_AND_FAILED,

    /** The backend server sent nothing within the time expected for a response or an event. */
    SILENT,
    ;

    /** Identifier in logs, such as `not_sent`. */
    public val id: String = name.lowercase()
}

/** Decision after a failed attempt. */
public enum class RetryVerdict {
    /** Send the request to another backend server. */
    RETRY,

    /** Return the backend server's own response, if there is one, or an error to the caller. */
    GIVE_UP,
}

/** State of a request after a failed attempt. */
public data class RetryContext(
    val route: Route,
    val failure: AttemptFailure,
    /** Number of backend servers that may have executed the request, including this one. */
    val runs: Int,
    /** Total number of attempts, including this one. */
    val attempts: Int,
    /** True if part of a response body that cannot be resumed was sent to the caller. */
    val isResponseStarted: Boolean,
    val remainingMs: Long,
    /**
     * Maximum number of backend servers that may execute the request on behalf of this host.
     *
     * A request that another host forwarded runs once here: that host counts the runs and decides on another one.
     */
    val maxRuns: Int = route.maxAttempts,
)

/**
 * Decides whether a failed request is retried on another backend server.
 *
 * A request that may have been executed is retried only if its route allows it, and only up to the route's maximum
 * number of attempts. A request that was certainly not executed may be retried whatever its kind.
 */
public object RetryRules {
    /** Maximum attempts of a request that no backend server executed; each retry counts against the retry budget. */
    public const val MAX_UNEXECUTED_ATTEMPTS: Int = 3

    /** With less time left until the deadline, another attempt is not worthwhile. */
    public const val MIN_REMAINING_MS: Long = 50

    /** Returns the decision; a retry must still be charged to the retry budget of the service. */
    public fun decide(context: RetryContext): RetryVerdict {
        val isRetryAllowed = when (context.failure) {
            AttemptFailure.NOT_SENT, AttemptFailure.NOT_EXECUTED -> context.attempts < MAX_UNEXECUTED_ATTEMPTS

            AttemptFailure.UNKNOWN, AttemptFailure.SILENT ->
                context.route.isRepeatable && context.runs < context.maxRuns

            AttemptFailure.RAN_AND_FAILED ->
                context.route.kind == RouteKind.IDEMPOTENT && context.runs < context.maxRuns
        }
        val canResume = !context.isResponseStarted || context.route.isResumable
        return if (isRetryAllowed && canResume && context.remainingMs >= MIN_REMAINING_MS) {
            RetryVerdict.RETRY
        } else {
            RetryVerdict.GIVE_UP
        }
    }
}
