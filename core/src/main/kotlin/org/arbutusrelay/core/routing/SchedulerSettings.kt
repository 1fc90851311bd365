package org.arbutusrelay.core.routing

/** Limits and shares of the scheduler. */
public data class SchedulerSettings(
    /** Maximum number of queued requests for each service. */
    val maxQueued: Int = 512,
    /** Maximum number of queued requests that need isolation, for each service. */
    val maxQueuedIsolated: Int = 16,
    /** Number of requests that a caller may be served ahead of other waiting callers. */
    val fairnessLag: Long = 8,
    /** Retry budget as a share of recent requests, in thousandths. */
    val retryPermille: Long = 100,
    /** Maximum burst of retries of this host for one service after an idle period. */
    val maxRetryBurst: Long = 20,
    /**
     * Other regions are considered when the first byte is predicted after this share of the target. A long prompt is
     * sent to a region with free slots only if its first byte is predicted there before this share.
     */
    val spilloverTargetShare: Double = 0.8,
    /** Long prompts are sent to regions with free slots while this host uses more than this part of its own share. */
    val balanceShareUsed: Double = 0.8,
    /** A region is free while less than this part of its slots is reported to be in use. */
    val balanceMaxRegionUse: Double = 0.6,
    /** Maximum queueing time of a request with a target, as a share of the time from its arrival to its deadline. */
    val maxWaitShare: Double = 0.3,
    /** Consecutive failures after which a region gets no requests for [regionOpenMs]. */
    val regionFailureThreshold: Int = 3,
    val regionOpenMs: Long = 2_000,
    /** Hedge budget as a share of recent requests, in thousandths. */
    val hedgePermille: Long = 20,
    /** A hedge is due when an attempt without a first byte is older than this multiple of the predicted time. */
    val hedgeAfterFactor: Double = 2.0,
    /** A request is refused when its predicted time exceeds the remaining time by more than this factor. */
    val refuseFactor: Double = 1.1,
    /** A queued request is refused when its typical service time times this factor exceeds the remaining time. */
    val startFactor: Double = 1.2,
    /** Prompt blocks indexed for all backend servers together; bounds the memory of the prefix cache indexes. */
    val prefixIndexBlocks: Int = 262_144,
    /** Duration of the slow start of a returning backend server or region, in milliseconds. */
    val rampMs: Long = 20_000,
    /** Maximum time, in milliseconds, by which a host prolongs a pause so that hosts return one after another. */
    val maxPauseSpreadMs: Long = 500,
)
