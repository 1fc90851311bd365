package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.BackendSlots
import org.arbutusrelay.core.routing.EarliestFinishRegionSelector
import org.arbutusrelay.core.routing.EarliestFinishServerSelector
import org.arbutusrelay.core.routing.RegionSelector
import org.arbutusrelay.core.routing.ServerSelector
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** A policy of the measurement: how backend servers and regions are chosen. */
internal enum class Policy(val title: String) {
    FINISH("predicted finish"),
    ROUND_ROBIN("round robin"),
    RANDOM("random"),
    LEAST_OUTSTANDING("least outstanding"),
    TWO_CHOICES("power of two choices"),
    ;

    /** Returns the choice of the backend server for one host. */
    fun serverSelector(random: Random): ServerSelector = when (this) {
        FINISH -> EarliestFinishServerSelector()

        ROUND_ROBIN -> roundRobin(random)

        RANDOM -> ServerSelector { _, servers, nowMs -> free(servers.slots, nowMs).randomOrNull(random) }

        LEAST_OUTSTANDING -> ServerSelector { _, servers, nowMs ->
            free(servers.slots, nowMs).shuffled(random).minByOrNull { it.load() }
        }

        TWO_CHOICES -> ServerSelector { _, servers, nowMs -> leastOfTwo(free(servers.slots, nowMs), random) }
    }

    /** Returns the choice of the region for one host; a baseline sends away when the home queue takes no more. */
    fun regionSelector(random: Random): RegionSelector = when (this) {
        FINISH -> EarliestFinishRegionSelector()
        else -> RegionSelector { query -> if (query.isLocalFull) query.regions.randomOrNull(random) else null }
    }

    private fun roundRobin(random: Random): ServerSelector {
        val next = AtomicInteger(random.nextInt(START_BOUND))
        return ServerSelector { _, servers, nowMs ->
            val count = servers.slots.size
            val first = next.getAndIncrement()
            (0 until count).map { servers.slots[Math.floorMod(first + it, count)] }.firstOrNull { it.hasRoom(nowMs) }
        }
    }

    private fun leastOfTwo(free: List<BackendSlots>, random: Random): BackendSlots? {
        if (free.size < 2) return free.firstOrNull()
        val first = free[random.nextInt(free.size)]
        val second = free[random.nextInt(free.size)]
        return if (second.load() < first.load()) second else first
    }

    private fun free(slots: List<BackendSlots>, nowMs: Long) = slots.filter { it.hasRoom(nowMs) }

    private companion object {
        private const val START_BOUND = 1_000
    }
}
