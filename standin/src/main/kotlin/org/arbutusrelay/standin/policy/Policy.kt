package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.BackendSlots
import org.arbutusrelay.core.routing.EarliestFinishRegionSelector
import org.arbutusrelay.core.routing.EarliestFinishServerSelector
import org.arbutusrelay.core.routing.RegionSelector
import org.arbutusrelay.core.routing.ServerSelector
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** A measured scheduling policy: selects the backend server and the region of a request. */
internal enum class Policy(val title: String) {
    FINISH("predicted finish"),
    ROUND_ROBIN("round robin"),
    RANDOM("random"),
    LEAST_OUTSTANDING("least outstanding"),
    TWO_CHOICES("power of two choices"),
    ;

    /** Returns a new backend server selector for one host. */
    fun serverSelector(random: Random): ServerSelector = when (this) {
        FINISH -> EarliestFinishServerSelector()

        ROUND_ROBIN -> roundRobin(random)

        RANDOM -> ServerSelector { _, servers, nowMs -> available(servers.slots, nowMs).randomOrNull(random) }

        LEAST_OUTSTANDING -> ServerSelector { _, servers, nowMs ->
            available(servers.slots, nowMs).shuffled(random).minByOrNull { it.load() }
        }

        TWO_CHOICES -> ServerSelector { _, servers, nowMs -> lessLoadedOfTwo(available(servers.slots, nowMs), random) }
    }

    /** Returns a new region selector for one host; baselines forward only when the local queue is full. */
    fun regionSelector(random: Random): RegionSelector = when (this) {
        FINISH -> EarliestFinishRegionSelector()
        else -> RegionSelector { query -> if (query.isLocalFull) query.regions.randomOrNull(random) else null }
    }

    private fun roundRobin(random: Random): ServerSelector {
        val next = AtomicInteger(random.nextInt(START_OFFSET_BOUND))
        return ServerSelector { _, servers, nowMs ->
            val count = servers.slots.size
            val start = next.getAndIncrement()
            (0 until count).map { servers.slots[Math.floorMod(start + it, count)] }.firstOrNull { it.hasRoom(nowMs) }
        }
    }

    private fun lessLoadedOfTwo(available: List<BackendSlots>, random: Random): BackendSlots? {
        if (available.size < 2) return available.firstOrNull()
        val first = available[random.nextInt(available.size)]
        val second = available[random.nextInt(available.size)]
        return if (second.load() < first.load()) second else first
    }

    private fun available(slots: List<BackendSlots>, nowMs: Long) = slots.filter { it.hasRoom(nowMs) }

    private companion object {
        private const val START_OFFSET_BOUND = 1_000
    }
}
