package org.arbutusrelay.core.error

/**
 * All errors that may be returned to a caller, a backend server or an operator, with the response for each.
 *
 * [outcome] is [Outcome.NOT_RUN] only for kinds that are used where no byte of the request can have reached a backend
 * server, or where the backend server itself reported that it did not execute the request.
 */
public enum class ErrorKind(
    /** HTTP status code of the response. */
    public val statusCode: Int,
    /** Whether the request was executed. */
    public val outcome: Outcome,
    /** True if the caller may safely send the same request again. */
    public val isResendSafe: Boolean,
    /** Default `Retry-After`, in milliseconds; null if a retry alone does not help. */
    public val retryAfterMs: Long?,
    /** Short human-readable summary. */
    public val title: String,
) {
    MALFORMED_REQUEST(400, Outcome.NOT_RUN, false, null, "the request is malformed"),
    MISSING_IDEMPOTENCY_KEY(400, Outcome.NOT_RUN, false, null, "the request kind needs an Idempotency-Key"),
    UNAUTHENTICATED(401, Outcome.NOT_RUN, false, null, "the token is missing or unknown"),
    UNKNOWN_SERVICE(404, Outcome.NOT_RUN, false, null, "the manifest has no such service"),
    UNKNOWN_KIND(404, Outcome.NOT_RUN, false, null, "the service has no such request kind"),
    NOT_FOUND(404, Outcome.NOT_RUN, false, null, "there is no such resource"),
    SLOW_SENDER(408, Outcome.NOT_RUN, true, null, "the request was not received in time"),
    BODY_TOO_LARGE(413, Outcome.NOT_RUN, false, null, "the request body is too large"),
    REQUEST_TOO_LARGE(413, Outcome.NOT_RUN, false, null, "no backend server has memory for the request"),
    IDEMPOTENCY_KEY_REUSED(409, Outcome.NOT_RUN, false, null, "the Idempotency-Key belongs to another request body"),
    REQUEST_SUSPECTED(422, Outcome.NOT_RUN, false, null, "the request crashed backend servers that ran it"),
    PROMPT_SUSPECTED(503, Outcome.NOT_RUN, false, 30_000, "the request or a part of its prompt crashed servers"),
    QUOTA_EXCEEDED(429, Outcome.NOT_RUN, true, 1_000, "the tenant is beyond its quota"),
    QUOTA_UNAVAILABLE(503, Outcome.NOT_RUN, true, 500, "the quota of the tenant cannot be counted now"),
    CALLER_LIMIT(429, Outcome.NOT_RUN, true, 1_000, "the caller is over its limit"),
    DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN, true, 5_000, "the request cannot be completed within its wait"),
    OVERLOADED(503, Outcome.NOT_RUN, true, 500, "the system has no capacity left"),
    NO_BACKEND_SERVER(503, Outcome.NOT_RUN, true, 500, "no backend server takes the request"),
    STREAM_ORIGIN_UNKNOWN(503, Outcome.NOT_RUN, true, null, "it is not known which software version began the stream"),
    LEDGER_UNAVAILABLE(503, Outcome.NOT_RUN, true, 2_000, "the ledger has no quorum"),
    HOME_MOVING(503, Outcome.NOT_RUN, true, 10_000, "the home region of the caller is being moved"),
    MANIFEST_STALE(503, Outcome.NOT_RUN, true, 1_000, "the request was decided by an older manifest"),
    REGION_UNREACHABLE(503, Outcome.NOT_RUN, true, 500, "no allowed region can be reached"),
    NOT_READY(503, Outcome.NOT_RUN, true, 1_000, "this host is not ready"),
    SHUTTING_DOWN(503, Outcome.NOT_RUN, true, 0, "this host is shutting down"),
    FORWARD_REFUSED(508, Outcome.NOT_RUN, true, 1_000, "the request was forwarded before"),
    BACKEND_REFUSED(503, Outcome.NOT_RUN, true, 1_000, "the backend server did not run the request"),
    BACKEND_FAILED(502, Outcome.UNKNOWN, false, null, "the backend server failed while it ran the request"),
    STREAM_BROKEN(502, Outcome.UNKNOWN, false, null, "the response broke off"),
    DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, false, null, "the response did not arrive within the wait"),
    OUTCOME_UNKNOWN(409, Outcome.UNKNOWN, false, null, "an earlier attempt with this key may have run"),
    IN_PROGRESS(409, Outcome.UNKNOWN, true, 1_000, "an earlier attempt with this key is still running"),
    ANSWER_NOT_STORED(409, Outcome.RAN, false, null, "the request ran; its response was too large to keep"),
    MANIFEST_INVALID(422, Outcome.NOT_RUN, false, null, "the manifest has errors"),
    MANIFEST_CONFLICT(409, Outcome.NOT_RUN, false, null, "another manifest has this number"),
    MANIFEST_NUMBER_STALE(409, Outcome.NOT_RUN, false, null, "a manifest with a higher number is in force"),
    MANIFEST_OUTCOME_UNKNOWN(504, Outcome.UNKNOWN, true, 1_000, "the manifest may or may not have been accepted"),
    MANIFEST_GROUP_UNAVAILABLE(503, Outcome.NOT_RUN, true, 2_000, "the manifest group has no quorum"),
    STALE_INCARNATION(409, Outcome.NOT_RUN, false, null, "a newer incarnation has announced itself"),
    INTERNAL(500, Outcome.UNKNOWN, false, null, "internal error"),
    ;

    /** Identifier in problem bodies, metrics and link frames, such as `caller_limit`. */
    public val id: String = name.lowercase()

    public companion object {
        private val kindsById = entries.associateBy(ErrorKind::id)

        /** Returns the kind with the given [id], or null. */
        public fun ofId(id: String): ErrorKind? = kindsById[id]
    }
}
