package org.arbutusrelay.core.routing

/** Decides whether a request leaves this region. */
public fun interface RegionSelector {
    /** Returns the region that [query]'s request is sent to, or null when it stays. */
    public fun choose(query: RegionQuery): RegionSlots?
}

/** What the choice of the region is based on. */
public class RegionQuery(
    public val profile: RequestProfile,
    public val nowMs: Long,
    /** Predicted time until the response is complete in this region, in milliseconds; infinite without a server. */
    public val localMs: Double,
    /** True when the queue of this region does not take the request. */
    public val isLocalFull: Boolean,
    /** Other allowed regions that can be used, in the order of the request's allowed regions. */
    public val regions: List<RegionSlots>,
    public val times: ServiceTimes,
    /** Cost of one second of one slot by region, in millionths. */
    public val costMicros: Map<String, Long>,
)
