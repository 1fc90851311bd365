package org.arbutusrelay.core.routing

/** Decides whether a request is forwarded to another region. */
public fun interface RegionSelector {
    /** Returns the region to forward the request of [query] to, or null to keep it in this region. */
    public fun select(query: RegionQuery): RegionSlots?
}

/** Inputs to the selection of a region. */
public class RegionQuery(
    public val profile: RequestProfile,
    public val nowMs: Long,
    /**
     * Predicted time until the response is complete in this region, in milliseconds; infinite if it cannot run here.
     */
    public val localMs: Double,
    /** True when this region cannot accept the request. */
    public val isLocalFull: Boolean,
    /** Other allowed regions that are usable, in the order of the allowed regions of the request. */
    public val regions: List<RegionSlots>,
    public val times: ServiceTimeModel,
    /** Cost of one second of one slot by region, in millionths. */
    public val costMicros: Map<String, Long>,
)
