package org.arbutusrelay.standin.load

/** Result of a request of a workload. */
public enum class LoadResult {
    /** The response was complete, correct and within the maximum wait. */
    COMPLETE,

    /** The response was complete and correct, but exceeded the maximum wait. */
    LATE,

    /** The response differs from the one expected for the request. */
    WRONG,

    /** The response broke off with a detectable error. */
    BROKEN,

    /** The error response stated that the request was not run. */
    NOT_RUN,

    /** The error response left open whether the request ran. */
    UNKNOWN,

    /** No entry host could be reached. */
    UNREACHABLE,

    /** The resent request did not get the same complete response as the first one. */
    RESEND_DIFFERS,
}
