package org.arbutusrelay.core.error

/** Whether a backend server executed a request. */
public enum class Outcome {
    /** No backend server executed the request, and none will. */
    NOT_RUN,

    /** A backend server executed the request. */
    RAN,

    /** A backend server may have executed the request. */
    UNKNOWN,
    ;

    /** Identifier in headers and problem bodies, such as `not_run`. */
    public val id: String = name.lowercase()
}
