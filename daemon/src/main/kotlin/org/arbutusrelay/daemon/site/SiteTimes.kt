package org.arbutusrelay.daemon.site

/** Intervals and timeouts of site membership, in milliseconds. */
public data class SiteTimes(
    val tickIntervalMs: Long = 250,
    /** Interval between reports and between full digests. */
    val reportIntervalMs: Long = 1_000,
    /** Backend servers announce themselves about every 1,200 ms; the lease expires after five lost announcements. */
    val backendLeaseMs: Long = 6_000,
    /** A host stops sending digests to an entry host that has not reported to it for this long. */
    val subscriptionTimeoutMs: Long = 3_000,
    /** Resend interval of a site state that the receiving host has not confirmed. */
    val statePushIntervalMs: Long = 1_000,
    /** Loads older than this do not represent the current load and are omitted from digests. */
    val loadMaxAgeMs: Long = 2_000,
)
