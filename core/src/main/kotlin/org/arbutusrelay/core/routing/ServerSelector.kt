package org.arbutusrelay.core.routing

/** Selects a backend server of a service among those with capacity. */
public fun interface ServerSelector {
    /** Returns the backend server for [profile], or null when none has capacity; it reserves nothing. */
    public fun select(profile: RequestProfile, servers: ServerPool, nowMs: Long): BackendSlots?

    /** Predicts the time to first byte on the best backend server with capacity; null when this is not supported. */
    public fun predictFirstByteMs(profile: RequestProfile, servers: ServerPool, nowMs: Long): Double? = null

    /** Estimates the prefill of [profile] on [slots]. */
    public fun estimatePrefill(profile: RequestProfile, slots: BackendSlots, servers: ServerPool): PrefillEstimate =
        PrefillEstimate(EarliestFinishServerSelector.uncachedTokens(profile, slots))

    /** Number of queued requests that [selectNext] selects from. */
    public val lookahead: Int get() = 1

    /** Returns the index of the queued request to place next; [waiting] is in queue order. */
    public fun selectNext(waiting: List<RequestProfile>, servers: ServerPool, nowMs: Long): Int = 0
}

/** The backend servers of one service in this region, and the service-time model of the service. */
public class ServerPool(public val slots: List<BackendSlots>, public val times: ServiceTimeModel) {
    /** Maximum number of concurrent requests on all backend servers together. */
    public val capacity: Int = slots.sumOf { it.capacity }

    /** Estimated requests in flight on all backend servers. */
    public fun load(): Int {
        var sum = 0
        for (index in slots.indices) sum += slots[index].load()
        return sum
    }
}
