package org.arbutusrelay.core.relay

import org.arbutusrelay.core.route.Route
import org.arbutusrelay.core.route.RouteKind

/** How an attempt at a backend server ended without a response for the caller. */
public enum class AttemptFailure {
    /** No byte of the request was sent. */
    NOT_SENT,

    /** The backend server said that it did not run the request. */
    NOT_EXECUTED,

    /** The request was sent; it may have run. */
    UNKNOWN,

    /** The backend server answered with an error of its own after it ran the request. */
    RAN_AND_FAILED,

    /** The backend server has been silent for longer than a response or an event should take. */
    SILENT,
    ;

    /** Name in logs, such as `not_sent`. */
    public val id: String = name.lowercase()
}

/** What to do after a failed attempt. */
public enum class RetryVerdict {
    /** Send the request to another backend server. */
    RETRY,

    /** Give the caller what there is: the backend server's own response, or an error. */
    GIVE_UP,
}

/** What is known of a request when an attempt failed. */
public data class RetryContext(
    val route: Route,
    val failure: AttemptFailure,
    /** Backend servers that may have run the request, this one included. */
    val runs: Int,
    /** Attempts in all, this one included. */
    val attempts: Int,
    /** True when bytes of a response body that cannot be continued have reached the caller. */
    val isResponseStarted: Boolean,
    val remainingMs: Long,
)

/**
 * Decides whether a request is sent to a second backend server.
 *
 * A request that may have run is sent again only where its route allows that, and never to more backend servers than
 * the route names. One that certainly has not run may be sent again whatever its kind is.
 */
public object RetryRules {
    /** Attempts without a run after which a request is refused; each of them counts against the retry budget. */
    public const val MAX_UNRUN_ATTEMPTS: Int = 3

    /** A shorter rest of the deadline is not worth another attempt. */
    public const val MIN_REMAINING_MS: Long = 50

    /** Returns the verdict; the caller must still pay for a retry from the budget of the service. */
    public fun decide(question: RetryContext): RetryVerdict {
        val mayRepeat = when (question.failure) {
            AttemptFailure.NOT_SENT, AttemptFailure.NOT_EXECUTED -> question.attempts < MAX_UNRUN_ATTEMPTS

            AttemptFailure.UNKNOWN, AttemptFailure.SILENT ->
                question.route.isRepeatable && question.runs < question.route.maxAttempts

            AttemptFailure.RAN_AND_FAILED ->
                question.route.kind == RouteKind.IDEMPOTENT && question.runs < question.route.maxAttempts
        }
        val isContinuable = !question.isResponseStarted || question.route.isResumable
        return if (mayRepeat && isContinuable && question.remainingMs >= MIN_REMAINING_MS) {
            RetryVerdict.RETRY
        } else {
            RetryVerdict.GIVE_UP
        }
    }
}
