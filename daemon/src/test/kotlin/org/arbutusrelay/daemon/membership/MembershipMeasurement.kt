package org.arbutusrelay.daemon.membership

import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.MembershipNode
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.daemon.link.FrameCodec
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.Ping
import org.arbutusrelay.schema.settings.PeerSettings
import java.io.File
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.test.Test

/** Measures control traffic and CPU time of each daemon; run by `bin/measure-membership`. */
class MembershipMeasurement {
    @Test
    fun `measure traffic and CPU time by number of hosts engines and regions`() {
        val seeds = "Seeds ${SEEDS.joinToString()}; ${Runtime.getRuntime().availableProcessors()} cores."
        val columns = listOf("Hosts", "Engines", "Regions") + Cost.entries.map { it.title }
        val file = File("target/membership-measurement.md")
        file.writeText("$seeds\n\n${columns.joinToString(" | ", "| ", " |")}\n${"|---:".repeat(columns.size)}|\n")
        for ((hosts, engines, regions) in SIZES) {
            val runs = SEEDS.map { seed -> MeasuredRegion(hosts, engines, regions, Random(seed)).measure() }
            val cells = Cost.entries.map { cost -> cell(runs.map { it.getValue(cost) }) }
            file.appendText((listOf(hosts, engines, regions) + cells).joinToString(" | ", "| ", " |\n"))
        }
    }

    private fun cell(values: List<Double>): String =
        values.sorted().let { "%.2f (%.2f to %.2f)".format(it[it.size / 2], it.first(), it.last()) }

    private companion object {
        val SEEDS = System.getProperty("arbutus.seed")?.let { listOf(it.toInt()) } ?: listOf(1, 2, 3)
        val SIZES = listOf(
            Triple(10, 575, 12),
            Triple(40, 575, 12),
            Triple(117, 575, 12),
            Triple(117, 12, 12),
            Triple(117, 120, 12),
            Triple(117, 575, 3),
        )
    }
}

private enum class Cost(val title: String) {
    MEAN_BYTES("KB/s mean"),
    MEDIAN_BYTES("KB/s median"),
    MAX_BYTES("KB/s highest"),
    MEAN_CPU("% core mean"),
    MAX_CPU("% core highest"),
}

/** One region with all of its hosts, and eight hosts and engines in each other region. */
private class MeasuredRegion(hosts: Int, private val engines: Int, regions: Int, private val random: Random) {
    private class Host(val node: MembershipNode) {
        var bytes = 0L
        var cpuNs = 0L
        val links = HashSet<String>()
    }

    private val threads = ManagementFactory.getThreadMXBean()
    private val states = List(hosts) { state("h$it", "r0", "z${it % ZONES}") } +
        (1 until regions).flatMap { r -> List(HOSTS_PER_OTHER_REGION) { state("r$r-$it", "r$r", "r$r-z") } }
    private val peers = states.filter { it.hostName in listOf("h0", "h1", "h2") || it.hostName.endsWith("-0") }
        .map { PeerSettings(it.hostName, it.region, it.availabilityZone, it.address) }
    private val hosts = states.associate { state ->
        state.hostName to Host(MembershipNode(state, peers.filter { it.hostName != state.hostName }, Invariants()))
    }
    private val loads = HashMap<String, Long>()
    private var nowMs = 0L

    fun measure(): Map<Cost, Double> {
        run(WARM_UP_MS)
        hosts.values.forEach {
            it.bytes = 0
            it.cpuNs = 0
        }
        run(MEASURED_MS)
        val own = states.filter { it.region == "r0" }.map { hosts.getValue(it.hostName) }
        own.forEach(::checkFullView)
        val pingBytes = 2 * 2 * (LENGTH_PREFIX_BYTES + FrameCodec.encode(LinkFrame(ping = Ping(1_000))).size)
        val bytes = own.map { (it.bytes * 1_000 / MEASURED_MS + it.links.size * pingBytes) / 1_000.0 }.sorted()
        val cpu = own.map { it.cpuNs / (MEASURED_MS * 10_000.0) }
        return mapOf(
            Cost.MEAN_BYTES to bytes.average(),
            Cost.MEDIAN_BYTES to bytes[bytes.size / 2],
            Cost.MAX_BYTES to bytes.max(),
            Cost.MEAN_CPU to cpu.average(),
            Cost.MAX_CPU to cpu.max(),
        )
    }

    /** Checks that [host] has the full membership view; with a partial view, too few bytes would be measured. */
    private fun checkFullView(host: Host) {
        val name = host.node.self.hostName
        val servers = host.node.availableServers(nowMs).size
        val liveHosts = host.node.hosts(nowMs).count { it.region == "r0" && !it.isSuspected }
        val summaries = host.node.regionSummaries().values.count { nowMs - it.second < MAX_SUMMARY_AGE_MS }
        val (expectedHosts, regions) = states.count { it.region == "r0" } to states.map { it.region }.distinct().size
        check(servers == engines && liveHosts == expectedHosts && summaries == regions - 1) {
            "$name has $servers engines, $liveHosts hosts and $summaries region summaries"
        }
    }

    private fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            connect()
            announceAll()
            // 23,000 manifest changes per day are one every 3.7 s.
            if (nowMs % 3_700 == 0L) hosts.values.forEach { it.node.update(::nextManifest) }
            for ((name, host) in hosts) deliver(name, timed(host) { host.node.tick(nowMs) })
        }
    }

    private fun nextManifest(state: HostState) = state.copy(manifestNumber = state.manifestNumber + 1)

    private fun announceAll() {
        val (own, others) = states.partition { it.region == "r0" }
        for (i in 0 until engines) if (nowMs % 1_000 == i % 10 * TICK_MS) announce("e$i", "r0", own[i % own.size])
        if (nowMs % 1_000 == 0L) others.forEach { announce("e-${it.hostName}", it.region, it) }
    }

    private fun announce(name: String, region: String, at: HostState) {
        val running = ((loads[name] ?: 32) + random.nextLong(-8, 9)).coerceIn(0, CAPACITY)
        loads[name] = running
        val announcement = Announcement(
            name, "service${name.hashCode().mod(4)}", region, at.availabilityZone, "http://10.0.0.1:9000", 1, nowMs,
            CAPACITY, listOf("model-a@3"), listOf("adapter-1"), "general", running, random.nextLong(4),
        )
        val host = hosts.getValue(at.hostName)
        timed(host) { host.node.announce(announcement, nowMs) }
    }

    private fun deliver(from: String, frames: List<Outgoing>) {
        for (outgoing in frames) {
            val (source, target) = hosts.getValue(from) to (hosts[outgoing.hostName] ?: continue)
            val body = timed(source) { FrameCodec.encode(outgoing.frame) }
            source.bytes += body.size + LENGTH_PREFIX_BYTES
            target.bytes += body.size + LENGTH_PREFIX_BYTES
            val replies = timed(target) { target.node.receive(from, checkNotNull(FrameCodec.decode(body)), nowMs) }
            deliver(outgoing.hostName, replies)
        }
    }

    private fun connect() {
        for (state in states) {
            val host = hosts.getValue(state.hostName)
            for (name in timed(host) { host.node.wantedLinks(nowMs) }.keys) {
                if (host.links.add(name)) {
                    val other = hosts.getValue(name)
                    other.links += state.hostName
                    val peer = other.node.self
                    host.node.linkUp(name, peer.region, peer.availabilityZone, peer.epoch)
                    other.node.linkUp(state.hostName, state.region, state.availabilityZone, state.epoch)
                }
            }
        }
    }

    private fun <T> timed(host: Host, action: () -> T): T {
        val start = threads.currentThreadCpuTime
        return action().also { host.cpuNs += threads.currentThreadCpuTime - start }
    }

    private fun state(name: String, region: String, zone: String) = HostState(
        name, region, zone, name.hashCode() + 1L, 0, "10.0.0.1:7000", "http://10.0.0.1:8000", 1, 100, false, false, 1,
    )

    private companion object {
        const val ZONES = 3
        const val HOSTS_PER_OTHER_REGION = 8
        const val CAPACITY = 64L
        const val TICK_MS = 100L
        const val WARM_UP_MS = 7_000L
        const val MEASURED_MS = 7_400L
        const val LENGTH_PREFIX_BYTES = 4

        // Region selection ignores older summaries.
        const val MAX_SUMMARY_AGE_MS = 5_000L
    }
}
