package org.arbutusrelay.standin.fleet

import org.arbutusrelay.core.routing.ServerSelector
import org.arbutusrelay.standin.policy.VirtualClock
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

/** A request of the model. */
internal class FleetRequest(
    val kind: FleetKind,
    val prefix: Long,
    val ownTokens: Int,
    val responseTokens: Int,
    val arrivedMs: Long,
    val isCounted: Boolean,
) {
    private var lastEventMs = 0.0

    /** Longest pause between two events so far, in milliseconds. */
    var maxPauseMs = 0.0
        private set

    fun recordEvent(nowMs: Double) {
        if (lastEventMs > 0) maxPauseMs = maxOf(maxPauseMs, nowMs - lastEventMs)
        lastEventMs = nowMs
    }
}

/**
 * Simulates regions in which many entry hosts share the engines, with the production scheduler on each host.
 *
 * A host knows its own requests, the loads in its own responses, and what the other hosts observed up to two report
 * intervals ago. The more hosts share a load, the less each of them sees of it.
 */
internal class FleetModel(val spec: FleetSpec, private val selector: () -> ServerSelector, seed: Long) {
    val clock = VirtualClock()
    private val random = Random(seed)
    val engines: Map<String, List<BatchingEngine>> = spec.regions.associate { region ->
        region.name to List(region.engines) {
            BatchingEngine(
                "${region.name}-engine-$it",
                region.name,
                spec.engine,
                clock,
                spec.engine.speeds[
                    it %
                        spec.engine.speeds.size,
                ],
                seed * PREFIX_STRIDE + it,
            )
        }
    }
    private val hosts = spec.regions.associate { region ->
        region.name to List(region.hosts) { FleetHost(this, region, "${region.name}-$it", selector()) }
    }

    /** What the engines shed, or null if they do not. */
    val shedding: EngineShedding? = spec.shedding?.let { EngineShedding(it, seed) }
    private val reported = HashMap<String, ObservedLoad>()
    val tallies: Map<String, FleetTally> = spec.kinds.associate { it.name to FleetTally() }

    /** Loads that all hosts have received. */
    var published: Map<String, ObservedLoad> = emptyMap()
        private set

    fun run(): FleetModel {
        for (region in spec.regions) spec.kinds.forEach { scheduleArrival(region, it) }
        for (host in hosts.values.flatten()) {
            val phase = random.nextDouble()
            repeatAfter(phase, spec.reportIntervalMs) { host.takeObserved().forEach(::report) }
            repeatAfter(phase, TABLE_INTERVAL_MS) { host.updateTable() }
            clock.schedulePeriodically(POLL_INTERVAL_MS, spec.durationMs) { host.poll() }
        }
        clock.schedulePeriodically(spec.reportIntervalMs, spec.durationMs) { published = reported.toMap() }
        clock.run()
        return this
    }

    fun nowMs(): Long = clock.nowMs.toLong()

    /** Returns the host of [region] that receives a forwarded request. */
    fun forwardTarget(region: String): FleetHost = hosts.getValue(region).let { it[random.nextInt(it.size)] }

    fun engine(name: String): BatchingEngine? = engines.values.firstNotNullOfOrNull { list ->
        list.find { it.name == name }
    }

    private fun report(name: String, load: ObservedLoad) {
        if ((reported[name]?.atMs ?: 0.0) <= load.atMs) reported[name] = load
    }

    private fun repeatAfter(phase: Double, intervalMs: Double, action: () -> Unit) {
        clock.schedule(phase * intervalMs) {
            action()
            clock.schedulePeriodically(intervalMs, spec.durationMs, action)
        }
    }

    private fun scheduleArrival(region: FleetRegion, kind: FleetKind) {
        val gapMs = -ln(1 - random.nextDouble()) * MS_PER_SECOND / (kind.perSecond * region.weight)
        if (clock.nowMs + gapMs > spec.durationMs) return
        clock.schedule(clock.nowMs + gapMs) {
            val isCounted = clock.nowMs >= spec.warmUpMs
            if (isCounted) tallies.getValue(kind.name).arrivals++
            val prefix = random.nextInt(kind.prefixes).toLong() * PREFIX_STRIDE + kind.name.hashCode()
            val ownTokens = logNormal(kind.ownTokens, kind.ownSpread)
            val responseTokens = logNormal(kind.responseTokens, kind.responseSpread)
            forwardTarget(region.name).accept(FleetRequest(kind, prefix, ownTokens, responseTokens, nowMs(), isCounted))
            scheduleArrival(region, kind)
        }
    }

    private fun logNormal(mean: Int, spread: Double): Int =
        (mean * exp(spread * random.nextGaussian() - spread * spread / 2)).toInt() + 1

    private companion object {
        const val PREFIX_STRIDE = 1_000_003L
        const val MS_PER_SECOND = 1_000.0
        const val TABLE_INTERVAL_MS = 450.0
        const val POLL_INTERVAL_MS = 20.0
    }
}

/** Load of an engine that a host observed in a response. */
internal class ObservedLoad(val running: Long, val queued: Long, val atMs: Double)
