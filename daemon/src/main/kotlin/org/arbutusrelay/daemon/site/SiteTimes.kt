package org.arbutusrelay.daemon.site

/** Intervals and timeouts of site membership, in milliseconds. */
public data class SiteTimes(
    val tickIntervalMs: Long = 500,
    /** Interval between reports and between pulses. */
    val reportIntervalMs: Long = 1_000,
    /**
     * A state host that is not the primary of an entry host sends it one of this many pulses; often enough for leases
     * while the primary is silent.
     */
    val pulsesPerBackupPulse: Int = 3,
    /** Interval between full digests of two state hosts; shorter than the timeouts of hosts and leases. */
    val meshDigestIntervalMs: Long = 3_000,
    /** Time for which changes are collected before they are sent and published together. */
    val batchDelayMs: Long = 20,
    /** Reports repeat departures for this long, in case all state hosts restart and lose them. */
    val departureReportMs: Long = 15_000,
    /** Reports repeat what servers said of their limits for this long, in case a link or a state host fails. */
    val limitReportMs: Long = 3_000,
    /** Interval between views without an urgent change, which carry new loads and expire hosts. */
    val publishIntervalMs: Long = 450,
    /** Backend servers announce themselves about every 1,200 ms; the lease expires after five lost announcements. */
    val backendLeaseMs: Long = 6_000,
    /**
     * A host that heard of no announcement of a server for this long reports to all state hosts; longer than an
     * announcement takes over two state hosts, and short enough to hear of it before the lease expires.
     */
    val renewalOverdueMs: Long = 4_000,
    /** A host stops sending digests to an entry host that has not reported to it for this long. */
    val subscriptionTimeoutMs: Long = 3_000,
    /** Resend interval of a site state that the receiving host has not confirmed. */
    val statePushIntervalMs: Long = 1_000,
    /** Loads older than this do not represent the current load and are omitted from digests. */
    val loadMaxAgeMs: Long = 2_000,
)
