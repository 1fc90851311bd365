package org.arbutusrelay.core.error

/** Tells whether a request was run. */
public enum class Outcome {
    /** No backend server ran the request, and none will. */
    NOT_RUN,

    /** A backend server ran the request. */
    RAN,

    /** A backend server may have run the request. */
    UNKNOWN,
    ;

    /** Name in headers and problem bodies, such as `not_run`. */
    public val id: String = name.lowercase()
}
