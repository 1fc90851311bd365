package org.arbutusrelay.core.membership

/** Membership intervals and timeouts (section 10 of the design), in milliseconds. */
public object MembershipTimes {
    public const val HEARTBEAT_INTERVAL_MS: Long = 500
    public const val ZONE_DIGEST_INTERVAL_MS: Long = 500
    public const val REGION_DIGEST_INTERVAL_MS: Long = 1_000
    public const val SUMMARY_INTERVAL_MS: Long = 1_000
    public const val SUSPECT_AFTER_MS: Long = 2_000
    public const val REMOVE_AFTER_MS: Long = 10_000
    public const val LEASE_MS: Long = 3_000
    public const val RENEWAL_INTERVAL_MS: Long = 1_000

    /** Backend servers known only from one sender's digests get no new requests after this time without a digest. */
    public const val DIGEST_TIMEOUT_MS: Long = 2_000

    /** Maximum time for which new requests may still be sent after a lease lapsed or a leaving notice arrived. */
    public const val NO_WORK_AFTER_MS: Long = 3_000

    /** Lifetime of an entry-host list. */
    public const val LIST_LIFETIME_MS: Long = 30_000

    /** Minimum interval between digest entries that change only a host's manifest number; bounds the digest size. */
    public const val MANIFEST_NUMBER_INTERVAL_MS: Long = 10_000

    internal const val NEVER: Long = Long.MIN_VALUE / 4
}
