package org.arbutusrelay.core.routing

/** Chooses a backend server among those of a service that have room. */
public fun interface ServerSelector {
    /** Returns the backend server for [profile], or null when none has room; it reserves nothing. */
    public fun choose(profile: RequestProfile, servers: ServiceServers, nowMs: Long): BackendSlots?

    /** Predicts the time to the first byte on the best backend server with room; null when this choice cannot. */
    public fun predictFirstByteMs(profile: RequestProfile, servers: ServiceServers, nowMs: Long): Double? = null

    /** Returns what [slots] has to read for [profile]. */
    public fun reading(profile: RequestProfile, slots: BackendSlots, servers: ServiceServers): PromptReading =
        PromptReading(EarliestFinishServerSelector.uncachedTokens(profile, slots))

    /** How many waiting requests [prefer] chooses from. */
    public val window: Int get() = 1

    /** Returns the index of the waiting request that is placed next; [waiting] is in the order of the queue. */
    public fun prefer(waiting: List<RequestProfile>, servers: ServiceServers, nowMs: Long): Int = 0
}

/** The backend servers of one service in this region, and what is known of the service's times. */
public class ServiceServers(public val slots: List<BackendSlots>, public val times: ServiceTimes) {
    /** Requests that all backend servers run at the same time. */
    public val capacity: Int = slots.sumOf { it.capacity }

    /** Estimated requests in flight on all backend servers. */
    public fun load(): Int {
        var sum = 0
        for (index in slots.indices) sum += slots[index].load()
        return sum
    }
}
