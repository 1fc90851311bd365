package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.SlowStart
import org.arbutusrelay.schema.message.BackendServerState

/** The routing table combined with this host's own counters; it is replaced when the table changes. */
internal class SchedulerSnapshot(
    val table: RoutingTable,
    val slotsByName: Map<String, BackendSlots>,
    val services: Map<String, ServerPool>,
    val regions: Map<String, RegionSlots>,
    /** Backend servers that were removed from the table while requests of this host were in flight on them. */
    val departed: List<BackendSlots> = emptyList(),
) {
    /** Returns the servers of this region that may run [profile], or null if there are none. */
    fun serversFor(profile: RequestProfile): ServerPool? = services[profile.serviceName]?.forRequest(profile)

    /** Returns true when [slots] may accept new work. */
    fun isCurrent(slots: BackendSlots): Boolean = slotsByName[slots.name] === slots && !slots.state.isLeaving

    companion object {
        val EMPTY = SchedulerSnapshot(RoutingTable("", ""), emptyMap(), emptyMap(), emptyMap())
    }
}

/** Builds snapshots; counters of backend servers and regions that remain are preserved. */
internal class SnapshotBuilder(
    private val settings: SchedulerSettings,
    private val timesOf: (String) -> ServiceTimeModel,
) {
    /**
     * Combines [table] with the counters of [old].
     *
     * Backend servers and regions that are new at [nowMs] get a slow start, unless this host [isStarting]: then they
     * are new only because it has just begun to discover them.
     */
    fun build(old: SchedulerSnapshot, table: RoutingTable, nowMs: Long, isStarting: Boolean): SchedulerSnapshot {
        val ramp = { if (isStarting) SlowStart.ended() else SlowStart(nowMs, settings.rampMs) }
        val active = table.backendServers.filter { !it.isLeaving && it.region == table.region }
        val prefixIndexBlocks = minOf(MAX_BLOCKS, settings.prefixIndexBlocks / maxOf(1, active.size))
        val slots = active.associate { it.name to slotsOf(old, it, ramp, prefixIndexBlocks) }
        val builtMs = table.builtAtMs ?: nowMs
        slots.values.forEach {
            it.coldLimiter.update(it.state.coldMs, table.coldRatesPerSecond[it.name] ?: 0.0, builtMs)
            it.updateLimit(table.turnShare, builtMs)
            it.memory.capacityTokens = table.memoryTokens[it.state.service] ?: 0
            val sharingHosts = if (it.memory.capacityTokens > 0) table.regionHosts else 0
            it.freeShare.configure(sharingHosts, BackendSlots.mix(table.turnShare.self.hashCode().toLong()))
        }
        val services = active.groupBy { it.service }.mapValues { (service, states) ->
            ServerPool(states.mapNotNull { slots[it.name] }, timesOf(service), table.ownPart)
        }
        val regions = table.otherRegions.mapValues { (name, region) ->
            old.regions[name]?.apply { update(region) }
                ?: RegionSlots(region, ramp(), settings.regionFailureThreshold, settings.regionOpenMs)
        }
        // A backend server that returns in the same incarnation must not start with zero requests in flight.
        val departed = (old.departed + old.slotsByName.values).filter { candidate ->
            slots[candidate.name] !== candidate && candidate.ownInFlight() > 0
        }
        return SchedulerSnapshot(table, slots, services, regions, departed)
    }

    private fun slotsOf(
        old: SchedulerSnapshot,
        state: BackendServerState,
        ramp: () -> SlowStart,
        prefixIndexBlocks: Int,
    ): BackendSlots {
        old.slotsByName[state.name]?.takeIf { it.isSameIncarnation(state) }?.let { return it.apply { update(state) } }
        val returning = old.departed.find { it.name == state.name && it.isSameIncarnation(state) }
        return returning?.apply { resume(state, ramp()) } ?: BackendSlots(state, ramp(), prefixIndexBlocks)
    }

    private companion object {
        private const val MAX_BLOCKS = 4_096
    }
}
