package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.BackendSlots
import org.arbutusrelay.core.routing.FinishChoice
import org.arbutusrelay.core.routing.FinishRegionChoice
import org.arbutusrelay.core.routing.RegionChoice
import org.arbutusrelay.core.routing.ServerChoice
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
    fun serverChoice(random: Random): ServerChoice = when (this) {
        FINISH -> FinishChoice()

        ROUND_ROBIN -> roundRobin(random)

        RANDOM -> ServerChoice { _, servers, nowMs -> free(servers.slots, nowMs).randomOrNull(random) }

        LEAST_OUTSTANDING -> ServerChoice { _, servers, nowMs ->
            free(servers.slots, nowMs).shuffled(random).minByOrNull { it.load() }
        }

        TWO_CHOICES -> ServerChoice { _, servers, nowMs -> leastOfTwo(free(servers.slots, nowMs), random) }
    }

    /** Returns the choice of the region for one host; a baseline sends away when the home queue takes no more. */
    fun regionChoice(random: Random): RegionChoice = when (this) {
        FINISH -> FinishRegionChoice()
        else -> RegionChoice { query -> if (query.isLocalFull) query.regions.randomOrNull(random) else null }
    }

    private fun roundRobin(random: Random): ServerChoice {
        val next = AtomicInteger(random.nextInt(START_BOUND))
        return ServerChoice { _, servers, nowMs ->
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
