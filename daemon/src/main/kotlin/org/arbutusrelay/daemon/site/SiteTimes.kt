package org.arbutusrelay.daemon.site

/** Periods of the site's membership, in milliseconds. */
public data class SiteTimes(
    val tickMs: Long = 250,
    /** Period of reports and of full digests. */
    val reportMs: Long = 1_000,
    /** Backend servers announce themselves about every 1,200 ms; five lost announcements end the lease. */
    val backendLeaseMs: Long = 6_000,
    /** An entry host that has not reported here for this long gets no digests from here. */
    val subscriptionMs: Long = 3_000,
    /** A newer site state is pushed again to a host that does not confirm it within this time. */
    val statePushMs: Long = 1_000,
    /** An older load says nothing of the present one. */
    val loadMaxAgeMs: Long = 2_000,
)
