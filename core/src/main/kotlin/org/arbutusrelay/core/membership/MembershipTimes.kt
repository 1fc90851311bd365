package org.arbutusrelay.core.membership

/** Durations of section 10 of the design, in milliseconds. */
public object MembershipTimes {
    public const val HEARTBEAT_MS: Long = 500
    public const val ZONE_DIGEST_MS: Long = 500
    public const val REGION_DIGEST_MS: Long = 1_000
    public const val SUMMARY_MS: Long = 1_000
    public const val SUSPECT_AFTER_MS: Long = 2_000
    public const val REMOVE_AFTER_MS: Long = 10_000
    public const val LEASE_MS: Long = 3_000
    public const val RENEW_MS: Long = 1_000

    /** Without a digest for this long, backend servers that are known only from it take no new work. */
    public const val DIGEST_FRESH_MS: Long = 2_000

    /** Bound on new work after a lease lapsed or a leaving notice arrived. */
    public const val NO_WORK_AFTER_MS: Long = 3_000

    /** Lifetime of an entry-host list. */
    public const val LIST_LIFETIME_MS: Long = 30_000

    /** A change of only the manifest number of a host goes into digests at most this often, to bound their size. */
    public const val MANIFEST_NUMBER_MS: Long = 10_000

    internal const val NEVER: Long = Long.MIN_VALUE / 4
}
