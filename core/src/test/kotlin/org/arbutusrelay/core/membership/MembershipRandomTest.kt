package org.arbutusrelay.core.membership

import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.api.Announcement
import org.arbutusrelay.schema.message.HostState
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.settings.PeerSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

class MembershipRandomTest {
    @Test
    fun `servers get no work after the bound and views converge under crashes partitions loss and delay`() {
        val counts = HashMap<String, Int>()
        for (seed in seeds()) {
            val run = MembershipRun(seed)
            try {
                run.run()
            } catch (e: IllegalStateException) {
                fail("seed $seed: ${e.message}\n${run.links.traceText()}", e)
            }
            run.links.faults.forEach { (kind, count) -> counts.merge(kind, count, Int::plus) }
        }
        println("membership runs, seeds ${seeds()}: $counts")
        val kinds = listOf("crash", "restart", "partition", "loss", "delay", "leave", "lapse", "return")
        kinds.forEach { assertTrue((counts[it] ?: 0) > 0, "fault kind $it never happened") }
    }

    @Test
    fun `a wrapper that announces an old incarnation is detected`() {
        assertDetected("offers") { MembershipRun(it, isOldIncarnationRelabelled = true) }
    }

    @Test
    fun `a wrapper that drops leaving notices and keeps renewing is detected`() {
        assertDetected("offers work") { MembershipRun(it, isLeavingHidden = true) }
    }

    private fun assertDetected(message: String, create: (Long) -> MembershipRun) {
        val failures = seeds().mapNotNull { runCatching { create(it).run() }.exceptionOrNull() }
        assertTrue(failures.any { message in it.message.orEmpty() }, "the injected fault was not detected: $failures")
    }

    @Test
    fun `the first host of a caller is stable and callers are distributed evenly`() {
        val hosts = List(8) { host("h$it") }
        val first = (0 until 8_000).groupingBy { EntryHostRanking.rank("c$it", "r", "z", hosts).first().hostName }
            .eachCount()
        assertTrue(first.values.all { it in 850..1_150 }, "callers by first host: $first")
        val rankedHosts = EntryHostRanking.rank("c1", "r", "z", hosts).map { it.hostName }
        val without = hosts.map { if (it.hostName == rankedHosts[0]) it.copy(isLeaving = true) else it }
        assertEquals(rankedHosts.drop(1), EntryHostRanking.rank("c1", "r", "z", without).map { it.hostName })
        val loaded = hosts.map { if (it.hostName == rankedHosts[0]) it.copy(loadPermille = 950) else it }
        assertEquals(rankedHosts[0], EntryHostRanking.rank("c1", "r", "z", loaded).last().hostName)
    }

    private fun seeds(): List<Long> = System.getProperty("arbutus.seed")?.let { listOf(it.toLong()) }
        ?: (1L..System.getProperty("arbutus.runs", "20").toLong()).toList()

    private fun host(name: String) = HostState(name, "r", "z", 1, 0, "a", "c", 0, 0, false, false)
}

/** One randomised run: two regions with two zones of three hosts each, and four backend servers per region. */
class MembershipRun(
    seed: Long,
    private val isOldIncarnationRelabelled: Boolean = false,
    private val isLeavingHidden: Boolean = false,
) {
    private val random = Random(seed)
    val links = VirtualLinks(random)
    private val hosts = listOf("a1", "a2", "b1", "b2").flatMap { z -> List(3) { Triple("$z$it", z.take(1), z) } }
    private val peers = hosts.filter { it.first.endsWith("0") }
        .map { PeerSettings(it.first, it.second, it.third, "${it.first}:1") }
    private val processes = HashMap<String, Process>()
    private val servers = listOf("a", "b").flatMap { r -> List(4) { Server("s$r$it", r) } }
    private var epochs = 0L
    private var isPartitioned = false
    private var isolatedHost: String? = null

    fun run() {
        links.isCut = { x, y ->
            (isPartitioned && x.region != y.region) || x.name == isolatedHost || y.name == isolatedHost
        }
        hosts.forEach { start(it.first) }
        links.run(10_000, ::announceAndCheck)
        repeat(25) {
            inject()
            links.run(random.nextLong(200, 4_000), ::announceAndCheck)
        }
        isPartitioned = false
        isolatedHost = null
        links.isSlow = false
        links.lossPerMille = 0
        hosts.filterNot { links.isUp(it.first) }.forEach { start(it.first) }
        servers.forEach { if (it.state != "up") it.restart() }
        links.run(SETTLE_MS, ::announceAndCheck)
        checkConverged()
    }

    private fun inject() {
        val host = hosts.random(random).first
        val server = servers.random(random)
        when (random.nextInt(9)) {
            0 -> if (links.isUp(host)) {
                links.fault("crash", host)
                links.stop(host)
            }

            1 -> hosts.filterNot { links.isUp(it.first) }.forEach {
                links.fault("restart", it.first)
                start(it.first)
            }

            2 -> {
                isPartitioned = !isPartitioned
                links.fault("partition", "regions $isPartitioned")
            }

            3 -> {
                isolatedHost = if (isolatedHost == null) host else null
                links.fault("partition", "host $isolatedHost")
            }

            4 -> {
                links.lossPerMille = if (links.lossPerMille == 0) 5 else 0
            }

            5 -> {
                links.isSlow = !links.isSlow
            }

            6 -> server.end("leave")

            7 -> server.end("lapse")

            else -> server.restart()
        }
    }

    private fun start(name: String) {
        val (_, region, zone) = hosts.first { it.first == name }
        val epoch = ++epochs
        val state = HostState(name, region, zone, epoch, 0, "$name:1", "http://$name", 1, 0, false, false, epoch)
        val process = Process(state)
        processes[name] = process
        links.start(VirtualHost(name, region, zone, epoch), process)
    }

    private fun announceAndCheck() {
        servers.forEach { it.announce() }
        for ((name, _, _) in hosts.filter { links.isUp(it.first) }) {
            val node = checkNotNull(processes[name]).node
            node.availableServers(links.nowMs).forEach { offered ->
                checkOffer(name, servers.first { it.name == offered.name }, offered.incarnation)
            }
            check(node.entryHosts("caller", links.nowMs).any { it.hostName == name }) {
                "$name is missing from its own entry-host list"
            }
        }
    }

    /** Checks the bound on new work against the times at which the backend server itself left or last renewed. */
    private fun checkOffer(host: String, server: Server, incarnation: Long) {
        val endedMs = server.endedMs[incarnation] ?: return
        val sinceMs = links.nowMs - endedMs
        check(sinceMs <= MembershipTimes.NO_WORK_AFTER_MS + ANNOUNCE_MS) {
            "$host offers work to ${server.name} incarnation $incarnation $sinceMs ms after it ended"
        }
    }

    private fun checkConverged() {
        for ((name, region, _) in hosts) {
            val node = checkNotNull(processes[name]).node
            val seen = node.hosts(links.nowMs).filter { it.region == region && !it.isSuspected }
                .map { it.hostName to it.epoch }.toSet()
            val live = hosts.filter { it.second == region }
                .map { it.first to checkNotNull(processes[it.first]).node.self.epoch }.toSet()
            check(seen == live) { "$name sees the hosts $seen, expected $live" }
            val offered = node.availableServers(links.nowMs).map { it.name to it.incarnation }.toSet()
            val expected = servers.filter { it.region == region }.map { it.name to it.incarnation }.toSet()
            check(offered == expected) { "$name offers $offered, expected $expected" }
            check(
                node.regionSummaries().values.any {
                    links.nowMs - it.second < 4_000 && it.first.hosts.isNotEmpty()
                },
            ) {
                "$name has no summary of the other region"
            }
        }
    }

    private inner class Server(val name: String, val region: String) {
        var state = "up"
        var incarnation = 1L
        val endedMs = HashMap<Long, Long>()
        private var sequence = 0L
        private var lastMs = 0L

        fun end(kind: String) {
            if (state != "up") return
            links.fault(kind, "$name/$incarnation")
            if (kind == "lapse") endedMs[incarnation] = lastMs + MembershipTimes.LEASE_MS
            state = kind
            if (kind == "leave") announce(isForced = true)
        }

        fun restart() {
            if (state == "up" || (state == "leave" && incarnation !in endedMs)) return
            links.fault("return", name)
            incarnation++
            state = "up"
        }

        fun announce(isForced: Boolean = false) {
            val isLeaving = state == "leave"
            val hasLeft = isLeaving && incarnation in endedMs
            if (state == "lapse" || (hasLeft && !isLeavingHidden)) return
            if (!isForced && links.nowMs - lastMs < MembershipTimes.RENEWAL_INTERVAL_MS) return
            val reachable = hosts.filter { it.second == region && it.first != isolatedHost && links.isUp(it.first) }
            val host = reachable.randomOrNull(random)?.first ?: return
            val announced = if (isOldIncarnationRelabelled && incarnation > 1) incarnation - 1 else incarnation
            val announcement = Announcement(
                name, "service", region, "${region}1", "http://$name", announced, sequence++, 8,
                isLeaving = isLeaving && !isLeavingHidden, running = random.nextLong(8),
            )
            checkNotNull(processes[host]).node.announce(announcement, links.nowMs).onRight { (_, frames) ->
                lastMs = links.nowMs
                if (isLeaving) endedMs.putIfAbsent(incarnation, links.nowMs)
                links.sendAll(host, frames)
            }
        }
    }

    private inner class Process(state: HostState) : VirtualProcess {
        val node = MembershipNode(state, peers.filter { it.hostName != state.hostName }, Invariants(isFatal = true))

        override fun linkUp(peer: VirtualHost) = node.linkUp(peer.name, peer.region, peer.zone, peer.epoch)

        override fun linkDown(peer: VirtualHost) = node.linkDown(peer.name)

        override fun receive(from: String, frame: LinkFrame, nowMs: Long) = node.receive(from, frame, nowMs)

        override fun tick(nowMs: Long) = node.tick(nowMs)

        override fun wantedLinks(nowMs: Long) = node.wantedLinks(nowMs).keys
    }

    private companion object {
        const val ANNOUNCE_MS = 100L
        const val SETTLE_MS = 15_000L
    }
}
