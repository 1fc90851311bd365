package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.AttemptResult
import kotlin.random.Random

/**
 * Simulates one day of a workload with the production schedulers of all entry hosts, in virtual time.
 *
 * Isolates the scheduling policy: the simulation has no sockets, no ledger and no membership protocol.
 */
internal class PolicyModel(val workload: Workload, private val scenario: Scenario, policy: Policy, seed: Long) {
    val clock = VirtualClock()
    val result = RunResult()
    var isPartitioned = false
    private val random = Random(seed)
    val regions = workload.regions.map { RegionModel(this, it, workload, scenario, policy, Random(random.nextLong())) }

    fun run(arrivals: List<Arrival>): RunResult {
        val endMs = (Workload.HOURS_PER_DAY * workload.hourMs).toDouble() + DRAIN_DURATION_MS
        regions.forEach { it.report() }
        clock.schedulePeriodically(REPORT_INTERVAL_MS, endMs) { regions.forEach { it.report() } }
        clock.schedulePeriodically(CACHE_EVENT_INTERVAL_MS, endMs) { regions.forEach { it.sendCacheEvents() } }
        clock.schedulePeriodically(POLL_INTERVAL_MS, endMs) {
            regions.forEach { region -> region.hosts.forEach { it.poll() } }
        }
        scenario.schedule(this, clock, workload.hourMs)
        arrivals.forEach { arrival -> clock.schedule(START_OFFSET_MS + arrival.atMs) { accept(arrival) } }
        clock.run()
        result.costMicros = regions.sumOf { region ->
            region.engines.sumOf { it.busySlotMs } / Workload.MS_PER_SECOND * region.spec.costMicros
        }
        return result
    }

    /** Records the prefix cache use of a request that an engine completed. */
    fun recordRun(arrival: Arrival, cachedTokens: Int) {
        result.cachedTokens += cachedTokens
        result.sharedTokens += arrival.kind.sharedTokens
    }

    private fun accept(arrival: Arrival) {
        result.arrivals++
        val home = regions[arrival.region]
        // While the home region is down, its callers use the entry hosts of the next region.
        val entry = if (home.isUp) home else regions[(arrival.region + 1) % regions.size]
        val regionNames = regions.map { it.spec.name }
        val allowed = listOf(home.spec.name) + if (arrival.isBoundToHome) emptyList() else regionNames - home.spec.name
        val host = entry.hosts[arrival.caller % entry.hosts.size]
        val arrivalMs = clock.nowMs
        host.accept(arrival, allowed, arrivalMs + arrival.waitMs, isForwarded = false) {
            recordOutcome(arrival, arrivalMs, it)
        }
    }

    private fun recordOutcome(arrival: Arrival, arrivalMs: Double, outcome: AttemptResult) {
        result.decided++
        val elapsedMs = clock.nowMs - arrivalMs
        when {
            outcome == AttemptResult.REFUSED -> result.refused++
            outcome != AttemptResult.COMPLETE -> result.lost++
            elapsedMs <= arrival.waitMs -> result.onTime++
            else -> result.late++
        }
        if (outcome == AttemptResult.COMPLETE) result.responseTimesMs.recordValue(elapsedMs.toLong())
    }

    private companion object {
        private const val START_OFFSET_MS = 1_000.0
        private const val REPORT_INTERVAL_MS = 1_000.0
        private const val CACHE_EVENT_INTERVAL_MS = 200.0
        private const val POLL_INTERVAL_MS = 20.0
        private const val DRAIN_DURATION_MS = 200_000.0
    }
}
