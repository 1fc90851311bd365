package org.arbutusrelay.core.routing

/** Bounds and shares of the scheduler; the defaults are those that the policy measurement was tuned with. */
public data class SchedulerSettings(
    /** Waiting requests for each service. */
    val maxQueued: Int = 512,
    /** Waiting requests that need isolation, for each service. */
    val maxQueuedIsolated: Int = 16,
    /** How many requests a caller may be served ahead of others that wait. */
    val fairnessLag: Long = 8,
    /** Retries as a share of recent requests, in thousandths. */
    val retryPermille: Long = 100,
    /** Retries for one service that this host may give at once after a quiet time. */
    val maxRetryBurst: Long = 20,
    /** A request looks at other regions when its first byte is predicted after this share of its target. */
    val relieveFactor: Double = 0.8,
    /** Share of its time that a request with a target may wait in the queue before it is refused. */
    val waitShare: Double = 0.3,
    /** Failures in a row after which a region gets no requests for [regionOpenMs]. */
    val regionFailureThreshold: Int = 3,
    val regionOpenMs: Long = 2_000,
    /** Hedges as a share of recent requests, in thousandths. */
    val hedgePermille: Long = 20,
    /** A hedge is due when an attempt without a first byte is older than this multiple of the predicted time. */
    val hedgeAfterFactor: Double = 2.0,
    /** A request is refused when its predicted time exceeds the time left by more than this factor. */
    val refuseFactor: Double = 1.1,
    /** A queued request is refused when less than this share of its predicted time is left. */
    val startFactor: Double = 1.2,
    /** Prompt blocks remembered for all backend servers together; bounds the memory of the prefix history. */
    val prefixIndexBlocks: Int = 262_144,
    /** Duration of the slow ramp of a returning backend server or region, in milliseconds. */
    val rampMs: Long = 20_000,
)
