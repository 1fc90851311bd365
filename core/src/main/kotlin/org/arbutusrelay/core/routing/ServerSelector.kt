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

    /** Records that [profile] was placed on [slots] with [uncachedTokens] to prefill. */
    public fun recordPlaced(profile: RequestProfile, slots: BackendSlots, servers: ServerPool, uncachedTokens: Int) {}

    /** Number of queued requests that [selectNext] selects from. */
    public val lookahead: Int get() = 1

    /** Returns the index of the queued request to place next; [waiting] is in queue order. */
    public fun selectNext(waiting: List<RequestProfile>, servers: ServerPool, nowMs: Long): Int = 0
}

/** The backend servers of one service in this region, and the service-time model of the service. */
public class ServerPool private constructor(
    public val slots: List<BackendSlots>,
    public val times: ServiceTimeModel,
    /** Part of the slots that is this host's own, between 0 and 1; 0 when it is not known. */
    ownPart: Double,
    private val whole: ServerPool?,
) {
    public constructor(slots: List<BackendSlots>, times: ServiceTimeModel, ownPart: Double = 0.0) :
        this(slots, times, ownPart, whole = null)

    /** Maximum number of concurrent requests on all backend servers together. */
    public val capacity: Int = slots.sumOf { it.capacity }

    /**
     * Slots that this host may use whatever the reported load is, as its share of all slots.
     *
     * The more hosts share the servers, the older and the rarer are the loads that one of them knows. Without a share,
     * hosts that all believe the servers to be full send nothing and so never learn that they have become idle.
     */
    private val ownShare: Int = whole?.ownShare ?: ownShareOf(ownPart)

    /** True if the memory of the servers is known, so that requests are placed by their tokens as well. */
    public val isMemoryKnown: Boolean = slots.any { it.memory.capacityTokens > 0 }

    /** Slots that this host has now, or may have as its share: those that its requests become free in. */
    internal fun expectedSlots(): Int = maxOf(1, ownShare, (whole?.slots ?: slots).sumOf { it.ownInFlight() })

    /** Returns the pool with only [servers] to choose from; the share of this host remains that of the whole pool. */
    internal fun subset(servers: List<BackendSlots>): ServerPool = ServerPool(servers, times, 0.0, whole ?: this)

    /** Returns the pool with only the servers that may run [profile], or null if there are none. */
    internal fun forRequest(profile: RequestProfile): ServerPool? {
        val version = profile.softwareVersion ?: return this
        val matching = slots.filter { it.state.softwareVersion == version }
        return if (matching.isEmpty()) null else subset(matching)
    }

    /** True when the part of this host is known. */
    public val isShareKnown: Boolean get() = ownShare > 0

    /** Returns true when this host uses fewer slots than its share. */
    public fun isBelowOwnShare(): Boolean = ownShareUsed() < 1.0

    /**
     * Returns true if this host may use its share whatever the reports say.
     *
     * Where the memory is known, it may not for a time after a server has turned one of its requests away. That is at
     * most a second, so that old reports do not starve a host.
     */
    internal fun mayUseOwnShare(nowMs: Long): Boolean = isBelowOwnShare() &&
        (!isMemoryKnown || !times.probeHold.isHeld(nowMs))

    /** Returns the slots that this host uses, as a part of its share; 1 when the share is not known. */
    public fun ownShareUsed(): Double {
        if (ownShare == 0) return 1.0
        val shared = whole?.slots ?: slots
        var sum = 0
        for (index in shared.indices) sum += shared[index].ownInFlight()
        return sum.toDouble() / ownShare
    }

    /**
     * Returns the time at which this host may send a request that waits behind [ahead] others, if all backend servers
     * are limited or have asked this host for a pause; otherwise null.
     */
    public fun nextSendMs(ahead: Int, nowMs: Long): Long? {
        var firstMs = Long.MAX_VALUE
        var ratePerMs = 0.0
        for (index in slots.indices) {
            val server = slots[index]
            val serverRatePerMs = server.turns.ratePerMs
            if (serverRatePerMs == null && server.pausedUntilMs <= nowMs) return null
            ratePerMs += serverRatePerMs ?: Double.POSITIVE_INFINITY
            firstMs = minOf(firstMs, server.nextSendMs(nowMs))
        }
        if (slots.isEmpty()) return null
        // A host that knows no turns yet has no rate, and those ahead may all be sent once it does.
        return if (ratePerMs > 0) firstMs + (ahead / ratePerMs).toLong() else firstMs
    }

    /** True while all backend servers are limited. */
    public val isLimited: Boolean get() = slots.isNotEmpty() && slots.all { it.turns.isLimited }

    /** True once a backend server has reported its current speed, because it shares its machine with other work. */
    public val reportsCurrentSpeed: Boolean get() = slots.any { it.currentSpeed.isReported }

    /** Estimated requests in flight on all backend servers. */
    public fun load(): Int {
        var sum = 0
        for (index in slots.indices) sum += slots[index].load()
        return sum
    }

    private fun ownShareOf(ownPart: Double): Int =
        if (ownPart == 0.0) 0 else maxOf(1, (capacity * ownPart + ROUNDING).toInt())

    private companion object {
        /** Keeps the equal part of a capacity that the number of hosts divides whole. */
        const val ROUNDING = 1e-9
    }
}
