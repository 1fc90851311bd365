package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.schema.api.CacheEvents
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import kotlin.random.Random

/** Simulates a region: its engines, its entry hosts, and the summaries received from other regions. */
internal class RegionModel(
    private val model: PolicyModel,
    val spec: RegionSpec,
    private val workload: Workload,
    private val scenario: Scenario,
    policy: Policy,
    random: Random,
) {
    private val clock = model.clock
    val engines = List(spec.engines) { EngineModel("${spec.name}-$it", spec.name, workload, clock) }
    val hosts = List(workload.hosts) { newHost("${spec.name}-host-$it", policy, Random(random.nextLong())) }
    var isUp = true
        private set
    private val remoteSummaries = HashMap<String, Pair<ServiceSummary, Double>>()
    private val eventLossRandom = Random(random.nextLong())

    fun fail() {
        isUp = false
        hosts.forEach { it.fail() }
        engines.forEach { it.fail() }
        remoteSummaries.clear()
    }

    fun restart() {
        isUp = true
        engines.forEach { it.restart() }
    }

    /** Sends load reports to the hosts of this region and its summary to the other regions. */
    fun report() {
        if (!isUp) return
        val states = engines.map { it.report() }
        val regionName = spec.name
        clock.schedule(clock.nowMs + scenario.reportDelayMs) { if (isUp) applyReport(states) }
        val summary = ServiceSummary(
            workload.service,
            engines.size.toLong(),
            states.sumOf { it.capacity },
            states.sumOf { it.running },
            states.sumOf { it.queued } + hosts.sumOf { it.queued() },
            hosts.first().predictedMs(workload.service),
        )
        model.regions.filter { it !== this }.forEach { remoteRegion ->
            if (!model.isPartitioned) {
                clock.schedule(clock.nowMs + scenario.reportDelayMs + workload.link.oneWayDelayMs) {
                    if (remoteRegion.isUp) remoteRegion.remoteSummaries[regionName] = summary to clock.nowMs
                }
            }
        }
    }

    /** Sends the cache events of the engines to the hosts; each delivery may be lost. */
    fun sendCacheEvents() {
        engines.forEach { engine ->
            val cacheEvents = engine.drainEvents()
            if (!isUp || cacheEvents.isEmpty()) return@forEach
            val events = CacheEvents(engine.incarnation, cacheEvents)
            hosts.forEach { host ->
                val isLost = eventLossRandom.nextInt(EVENT_LOSS_ONE_IN) == 0
                if (!isLost) clock.schedule(clock.nowMs + EVENT_DELAY_MS) { host.applyCacheEvents(engine.name, events) }
            }
        }
    }

    private fun newHost(name: String, policy: Policy, random: Random) = HostModel(model, this, name, policy, random)

    private fun applyReport(states: List<BackendServerState>) {
        val link = workload.link
        val reachableSummaries = remoteSummaries.filterValues { (_, receivedMs) ->
            clock.nowMs - receivedMs < REMOTE_SUMMARY_TIMEOUT_MS + scenario.reportDelayMs &&
                !model.isPartitioned
        }
        val remoteRegions = reachableSummaries.mapValues { (name, receivedSummary) ->
            val (summary, receivedMs) = receivedSummary
            RemoteRegion(
                name,
                RegionLink(spec.name, name, link.oneWayDelayMs, link.capacityBitsPerSecond),
                mapOf(workload.service to summary),
                (clock.nowMs - receivedMs).toLong(),
                link.usePermille,
            )
        }
        val costs = mapOf(workload.service to workload.regions.associate { it.name to it.costMicros })
        val table = RoutingTable(spec.name, "${spec.name}-a", states, remoteRegions, costs, workload.sentAwayPermille)
        hosts.forEach { it.updateTable(table) }
    }

    private companion object {
        private const val EVENT_DELAY_MS = 500.0
        private const val EVENT_LOSS_ONE_IN = 50
        private const val REMOTE_SUMMARY_TIMEOUT_MS = 2_500.0
    }
}
