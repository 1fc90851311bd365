package org.arbutusrelay.core.invariant

/** The guarantees that are asserted where the code could break them. */
public enum class Guarantee {
    /** A request is processed in an allowed region only. */
    ALLOWED_REGION,

    /** A request is sent between regions at most once and passes no host twice. */
    SINGLE_HOP,

    /** A caller receives the response to its own request, complete and in order. */
    RESPONSE_OWNER,

    /** A request that was reported as not run was not sent. */
    NOT_RUN_HONEST,

    /** A non-idempotent request is sent at most once, and only under a committed grant. */
    AT_MOST_ONCE,

    /** A leaving or lapsed backend server receives no new work after the bound. */
    NO_WORK_AFTER_LEAVING,

    /** A graceful shutdown interrupts no request in flight. */
    GRACEFUL_STOP,

    /** The number of the manifest in force never decreases. */
    MANIFEST_MONOTONIC,

    /** At most one leader is elected in a term, and a committed log entry never changes. */
    LOG_SAFETY,

    /** The fencing token of orders never decreases, and one leader gives orders at a time. */
    FENCING_MONOTONIC,
    ;

    /** Name in metrics, such as `allowed_region`. */
    public val id: String = name.lowercase()
}
