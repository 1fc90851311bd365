package org.arbutusrelay.core.routing

import org.arbutusrelay.core.admission.SlowStart
import org.arbutusrelay.schema.message.BackendServerState

/** The routing table joined with this host's own counters; a new one replaces it when the table changes. */
internal class SchedulerSnapshot(
    val table: RoutingTable,
    val slotsByName: Map<String, BackendSlots>,
    val services: Map<String, ServiceServers>,
    val regions: Map<String, RegionSlots>,
    /** Backend servers that left the table while requests of this host were in flight on them. */
    val departed: List<BackendSlots> = emptyList(),
) {
    /** Returns true when [slots] may take new work. */
    fun isCurrent(slots: BackendSlots): Boolean = slotsByName[slots.name] === slots && !slots.state.isLeaving

    companion object {
        val EMPTY = SchedulerSnapshot(RoutingTable("", ""), emptyMap(), emptyMap(), emptyMap())
    }
}

/** Builds snapshots; counters of backend servers and regions that stay are kept. */
internal class SnapshotBuilder(
    private val settings: SchedulerSettings,
    private val timesOf: (String) -> ServiceTimes,
) {
    /**
     * Joins [table] with the counters of [old]. What is new at [nowMs] is ramped up, unless this host is [isStarting]:
     * then backend servers are new to it because it has only begun to learn of them.
     */
    fun build(old: SchedulerSnapshot, table: RoutingTable, nowMs: Long, isStarting: Boolean): SchedulerSnapshot {
        val ramp = { if (isStarting) SlowStart.ended() else SlowStart(nowMs, settings.rampMs) }
        val active = table.backendServers.filter { !it.isLeaving && it.region == table.region }
        val historyBlocks = minOf(MAX_BLOCKS, settings.historyBlocks / maxOf(1, active.size))
        val slots = active.associate { it.name to slotsOf(old, it, ramp, historyBlocks) }
        val builtMs = table.builtAtMs ?: nowMs
        slots.values.forEach { it.coldGate.update(it.state.coldMs, table.coldRatesPerSecond[it.name] ?: 0.0, builtMs) }
        val services = active.groupBy { it.service }.mapValues { (service, states) ->
            ServiceServers(states.mapNotNull { slots[it.name] }, timesOf(service))
        }
        val regions = table.otherRegions.mapValues { (name, region) ->
            old.regions[name]?.apply { update(region) }
                ?: RegionSlots(region, ramp(), settings.regionFailureThreshold, settings.regionOpenMs)
        }
        // A backend server that comes back in the same incarnation must not start from zero requests in flight.
        val departed = (old.departed + old.slotsByName.values).filter { gone ->
            slots[gone.name] !== gone && gone.ownInFlight() > 0
        }
        return SchedulerSnapshot(table, slots, services, regions, departed)
    }

    private fun slotsOf(
        old: SchedulerSnapshot,
        state: BackendServerState,
        ramp: () -> SlowStart,
        historyBlocks: Int,
    ): BackendSlots {
        old.slotsByName[state.name]?.takeIf { it.isFor(state) }?.let { return it.apply { update(state) } }
        val returning = old.departed.find { it.name == state.name && it.isFor(state) }
        return returning?.apply { resume(state, ramp()) } ?: BackendSlots(state, ramp(), historyBlocks)
    }

    private companion object {
        private const val MAX_BLOCKS = 4_096
    }
}
