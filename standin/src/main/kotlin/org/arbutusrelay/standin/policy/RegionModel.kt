package org.arbutusrelay.standin.policy

import org.arbutusrelay.core.routing.RemoteRegion
import org.arbutusrelay.core.routing.RoutingTable
import org.arbutusrelay.schema.api.CacheEvents
import org.arbutusrelay.schema.manifest.RegionLink
import org.arbutusrelay.schema.message.BackendServerState
import org.arbutusrelay.schema.message.ServiceSummary
import kotlin.random.Random

/** One region: its engines, its entry hosts, and what they know of each other and of other regions. */
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
    private val others = HashMap<String, Pair<ServiceSummary, Double>>()
    private val lossRandom = Random(random.nextLong())

    fun fail() {
        isUp = false
        hosts.forEach { it.fail() }
        engines.forEach { it.fail() }
        others.clear()
    }

    fun restart() {
        isUp = true
        engines.forEach { it.restart() }
    }

    /** Sends load reports to the hosts of the region and the summary to the other regions. */
    fun report() {
        if (!isUp) return
        val states = engines.map { it.report() }
        val first = spec.name
        clock.at(clock.nowMs + scenario.reportDelayMs) { if (isUp) applyReport(states) }
        val summary = ServiceSummary(
            workload.service,
            engines.size.toLong(),
            states.sumOf { it.capacity },
            states.sumOf { it.running },
            states.sumOf { it.queued } + hosts.sumOf { it.queued() },
            hosts.first().predictedMs(workload.service),
        )
        model.regions.filter { it !== this }.forEach { other ->
            if (!model.isPartitioned) {
                clock.at(clock.nowMs + scenario.reportDelayMs + workload.link.oneWayDelayMs) {
                    if (other.isUp) other.others[first] = summary to clock.nowMs
                }
            }
        }
    }

    /** Sends the cache events of the engines; some batches are lost on the way. */
    fun sendCacheEvents() {
        engines.forEach { engine ->
            val batch = engine.takeEvents()
            if (!isUp || batch.isEmpty()) return@forEach
            val events = CacheEvents(engine.incarnation, batch)
            hosts.forEach { host ->
                val isLost = lossRandom.nextInt(LOST_ONE_IN) == 0
                if (!isLost) clock.at(clock.nowMs + EVENT_DELAY_MS) { host.applyCacheEvents(engine.name, events) }
            }
        }
    }

    private fun newHost(name: String, policy: Policy, random: Random) = HostModel(model, this, name, policy, random)

    private fun applyReport(states: List<BackendServerState>) {
        val link = workload.link
        val reachable = others.filterValues { (_, atMs) ->
            clock.nowMs - atMs < SILENCE_MS + scenario.reportDelayMs &&
                !model.isPartitioned
        }
        val remotes = reachable.mapValues { (name, summaryAt) ->
            val (summary, atMs) = summaryAt
            RemoteRegion(
                name,
                RegionLink(spec.name, name, link.oneWayDelayMs, link.capacityBitsPerSecond),
                mapOf(workload.service to summary),
                (clock.nowMs - atMs).toLong(),
                link.usePermille,
            )
        }
        val costs = mapOf(workload.service to workload.regions.associate { it.name to it.costMicros })
        val table = RoutingTable(spec.name, "${spec.name}-a", states, remotes, costs, workload.sentAwayPermille)
        hosts.forEach { it.updateTable(table) }
    }

    private companion object {
        private const val EVENT_DELAY_MS = 500.0
        private const val LOST_ONE_IN = 50
        private const val SILENCE_MS = 2_500.0
    }
}
