package org.arbutusrelay.standin.load

/** How one request of a workload ended. */
public enum class LoadResult {
    /** The response was complete, right and within the wait. */
    COMPLETE,

    /** The response was complete and right, but late. */
    LATE,

    /** The response was not the one that belongs to the request. */
    WRONG,

    /** The response broke off with a visible error. */
    BROKEN,

    /** The system said that the request was not run. */
    NOT_RUN,

    /** The system said that the request may have run. */
    UNKNOWN,

    /** No entry host could be reached. */
    UNREACHABLE,

    /** The second sending of a request got another response than the first. */
    RESEND_DIFFERS,
}
