package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.AttemptResult
import kotlin.random.Random

/**
 * Runs one day of a workload through the schedulers of all entry hosts, in virtual time.
 *
 * It measures the routing policy and nothing else: there are no sockets, no ledger and no membership protocol.
 */
internal class PolicyModel(val workload: Workload, private val scenario: Scenario, policy: Policy, seed: Long) {
    val clock = VirtualClock()
    val result = RunResult()
    var isPartitioned = false
    private val random = Random(seed)
    val regions = workload.regions.map { RegionModel(this, it, workload, scenario, policy, Random(random.nextLong())) }

    fun run(arrivals: List<Arrival>): RunResult {
        val endMs = (Workload.HOURS * workload.hourMs).toDouble() + DRAIN_MS
        regions.forEach { it.report() }
        clock.every(REPORT_MS, endMs) { regions.forEach { it.report() } }
        clock.every(EVENTS_MS, endMs) { regions.forEach { it.sendCacheEvents() } }
        clock.every(POLL_MS, endMs) { regions.forEach { region -> region.hosts.forEach { it.poll() } } }
        scenario.schedule(this, clock, workload.hourMs)
        arrivals.forEach { arrival -> clock.at(START_MS + arrival.atMs) { accept(arrival) } }
        clock.run()
        result.costMicros = regions.sumOf { region ->
            region.engines.sumOf { it.busySlotMs } / Workload.MS_PER_SECOND * region.spec.costMicros
        }
        return result
    }

    /** Records what an engine ran. */
    fun recordRun(arrival: Arrival, cachedTokens: Int) {
        result.cachedTokens += cachedTokens
        result.sharedTokens += arrival.kind.sharedTokens
    }

    private fun accept(arrival: Arrival) {
        result.arrivals++
        val home = regions[arrival.region]
        // A caller uses the entry hosts of the next region while those of its own are down.
        val entry = if (home.isUp) home else regions[(arrival.region + 1) % regions.size]
        val names = regions.map { it.spec.name }
        val allowed = listOf(home.spec.name) + if (arrival.isBound) emptyList() else names - home.spec.name
        val host = entry.hosts[arrival.caller % entry.hosts.size]
        val atMs = clock.nowMs
        host.accept(arrival, allowed, atMs + arrival.waitMs, isForwarded = false) { end(arrival, atMs, it) }
    }

    private fun end(arrival: Arrival, atMs: Double, outcome: AttemptResult) {
        result.decided++
        val elapsedMs = clock.nowMs - atMs
        when {
            outcome == AttemptResult.REFUSED -> result.refused++
            outcome != AttemptResult.COMPLETE -> result.lost++
            elapsedMs <= arrival.waitMs -> result.inTime++
            else -> result.late++
        }
        if (outcome == AttemptResult.COMPLETE) result.times.recordValue(elapsedMs.toLong())
    }

    private companion object {
        private const val START_MS = 1_000.0
        private const val REPORT_MS = 1_000.0
        private const val EVENTS_MS = 200.0
        private const val POLL_MS = 20.0
        private const val DRAIN_MS = 200_000.0
    }
}
