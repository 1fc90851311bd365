package org.arbutusrelay.core.invariant

/** Guarantees that are checked at run time, at each place where the code could violate them. */
public enum class Guarantee {
    /** A request is processed only in a region that is allowed for it. */
    ALLOWED_REGION,

    /** A request is forwarded between regions at most once and never visits a host twice. */
    SINGLE_HOP,

    /** A caller receives only the response to its own request, complete and in order. */
    RESPONSE_OWNER,

    /** A request that is reported as not run was not sent. */
    NOT_RUN_HONEST,

    /** A non-idempotent request is sent at most once, and only under a committed grant. */
    AT_MOST_ONCE,

    /** A backend server that is leaving, or whose lease expired, receives no new requests after the time limit. */
    NO_WORK_AFTER_LEAVING,

    /** A graceful shutdown interrupts no request in flight. */
    GRACEFUL_STOP,

    /** The number of the active manifest never decreases. */
    MANIFEST_MONOTONIC,

    /** At most one leader is elected in a term, and a committed log entry never changes. */
    LOG_SAFETY,

    /** The fencing token of orders never decreases, and only one leader sends orders at a time. */
    FENCING_MONOTONIC,
    ;

    /** Identifier in metrics, such as `allowed_region`. */
    public val id: String = name.lowercase()
}
