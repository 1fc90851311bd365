package org.arbutusrelay.core.manifest

import arrow.core.right
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.core.membership.Outgoing
import org.arbutusrelay.core.membership.VirtualHost
import org.arbutusrelay.core.membership.VirtualLinks
import org.arbutusrelay.core.membership.VirtualProcess
import org.arbutusrelay.schema.manifest.Manifest
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.test.fail

class ManifestRandomTest {
    @Test
    fun `numbers never decrease across restarts and all hosts converge`() {
        val counts = HashMap<String, Int>()
        for (seed in seeds()) {
            val run = ManifestRun(seed)
            try {
                run.run()
            } catch (e: IllegalStateException) {
                fail("seed $seed: ${e.message}\n${run.links.traceText()}", e)
            }
            run.links.faults.forEach { (kind, count) -> counts.merge(kind, count, Int::plus) }
        }
        println("manifest runs, seeds ${seeds()}: $counts")
        val kinds =
            listOf("crash", "restart", "restart during partition", "partition", "loss", "delay", "race", "resend")
        kinds.forEach { assertTrue((counts[it] ?: 0) > 0, "fault kind $it never happened") }
    }

    @Test
    fun `each injected fault is detected`() {
        val expected = mapOf(
            Mutation.OFFER_BEFORE_MAJORITY to "decreased",
            Mutation.START_WITHOUT_MAJORITY to "decreased",
            Mutation.LOSE_STORE_ON_RESTART to "decreased",
            Mutation.LAST_DIGEST_WINS to "two digests",
            Mutation.DROP_PULL_REPLIES to "has manifest",
        )
        for ((mutation, message) in expected) {
            val failures = (1L..MUTATION_SEEDS).asSequence()
                .mapNotNull { runCatching { ManifestRun(it, mutation).run() }.exceptionOrNull()?.message }
            assertTrue(failures.any { message in it }, "$mutation was not detected in $MUTATION_SEEDS seeds")
        }
    }

    private fun seeds(): List<Long> = System.getProperty("arbutus.seed")?.let { listOf(it.toLong()) }
        ?: (1L..System.getProperty("arbutus.runs", "100").toLong()).toList()

    private companion object {
        const val MUTATION_SEEDS = 1_000L
    }
}

enum class Mutation {
    NONE,
    OFFER_BEFORE_MAJORITY,
    START_WITHOUT_MAJORITY,
    LOSE_STORE_ON_RESTART,
    LAST_DIGEST_WINS,
    DROP_PULL_REPLIES,
}

/** One randomised run: two regions with three state hosts and two diskless hosts each; the voters are in region a. */
class ManifestRun(seed: Long, private val mutation: Mutation = Mutation.NONE) {
    private val random = Random(seed)
    val links = VirtualLinks(random)
    private val names = listOf("a", "b").flatMap { r -> List(5) { "$r$it" } }
    private val stateHosts = names.filter { it[1] in '0'..'2' }.toSet()
    private val voters = stateHosts.filter { it[0] == 'a' }
    private val log = ManifestLog(::parse)
    private val stores = HashMap<String, ManifestRecord>()
    private val committed = HashMap<String, ManifestRecord>()
    private val served = HashMap<String, Long>()
    private val digests = HashMap<Long, String>()
    private val processes = HashMap<String, Process>()
    private var isPartitioned = false
    private val isolatedHosts = HashSet<String>()
    private var number = 0L
    private var epochs = 0L
    private var logIndex = 0L

    fun run() {
        links.isCut = { x, y ->
            (isPartitioned && x.region != y.region) || x.name in isolatedHosts || y.name in isolatedHosts
        }
        names.forEach(::start)
        links.run(1_000, ::check)
        publish()
        repeat(40) {
            inject()
            links.run(random.nextLong(50, 2_000), ::check)
        }
        isPartitioned = false
        isolatedHosts.clear()
        links.isSlow = false
        links.lossPerMille = 0
        names.filterNot(links::isUp).forEach(::start)
        links.run(CONVERGE_MS, ::check)
        names.forEach { name ->
            val seen = checkNotNull(processes[name]).node.view?.number
            check(seen == log.accepted?.number) { "$name has manifest $seen and not ${log.accepted?.number}" }
        }
    }

    private fun inject() {
        val name = names.random(random)
        when (random.nextInt(11)) {
            0, 1, 2 -> publish()

            3 -> race()

            4 -> if (links.isUp(name)) links.stop(name).also { links.fault("crash", name) }

            5, 6 -> names.filterNot(links::isUp).forEach(::restart)

            7 -> links.fault("partition", "regions ${!isPartitioned}").also { isPartitioned = !isPartitioned }

            8 -> links.fault("partition", name).also { if (!isolatedHosts.remove(name)) isolatedHosts += name }

            9 -> isolateNewest()

            else -> {
                links.isSlow = random.nextBoolean()
                links.lossPerMille = if (random.nextBoolean()) 20 else 0
            }
        }
    }

    /** Isolates a state host shortly after a publication, and restarts hosts that may already serve the manifest. */
    private fun isolateNewest() {
        publish()
        links.run(random.nextLong(50, 400), ::check)
        links.fault("partition", "regions and a state host")
        isPartitioned = true
        isolatedHosts += stateHosts.random(random)
        (names - stateHosts).forEach(::restart)
    }

    private fun restart(name: String) {
        links.fault(if (isPartitioned || isolatedHosts.isNotEmpty()) "restart during partition" else "restart", name)
        start(name)
    }

    private fun start(name: String) {
        if (mutation == Mutation.LOSE_STORE_ON_RESTART) stores[name]?.let { stores[name] = record(0, "none") }
        val process = Process(name)
        processes[name] = process
        links.start(VirtualHost(name, name.take(1), name.take(1), ++epochs), process)
    }

    /** Commits a manifest if two of the three voters are reachable. */
    private fun publish() {
        val next = record(++number, "manifest $number\n" + "same line\n".repeat(20))
        if (commit(next) && random.nextInt(3) == 0) {
            links.fault("resend", "$number")
            commit(next)
        }
    }

    private fun race() {
        val (first, second) = record(++number, "first $number") to record(number, "second $number")
        links.fault("race", "$number")
        if (commit(first)) commit(second)
    }

    private fun commit(record: ManifestRecord): Boolean {
        val up = voters.filter { links.isUp(it) && it !in isolatedHosts }.shuffled(random).take(2)
        if (up.size < 2) return false
        val decision = log.apply(++logIndex, ReplicatedCommand(manifest = record))
        val accepted = if (mutation == Mutation.LAST_DIGEST_WINS) record else decision.accepted
        if (accepted != null) up.forEach { committed[it] = accepted }
        return true
    }

    private fun check() {
        for (name in names.filter(links::isUp)) {
            val view = checkNotNull(processes[name]).node.view ?: continue
            val before = served.put(name, view.number) ?: 0
            check(view.number >= before) { "$name decreased from $before to ${view.number}" }
            val digest = digests.getOrPut(view.number) { view.digest }
            check(digest == view.digest) { "number ${view.number} has two digests" }
        }
    }

    private fun parse(text: String) =
        Manifest(text.filter(Char::isDigit).toLong(), emptyList(), emptyList(), emptyList(), emptyList()).right()

    private fun record(number: Long, text: String) = ManifestRecord(number, ManifestText.digest(text), text)

    private inner class Process(private val name: String) : VirtualProcess {
        private val region = names.filter { it[0] == name[0] && it in stateHosts }.toSet()
        private val visibleStateHosts = when (mutation) {
            Mutation.START_WITHOUT_MAJORITY -> if (name in region) setOf(name) else setOf(region.random(random))
            Mutation.OFFER_BEFORE_MAJORITY -> if (name in region) setOf(name) else region
            else -> region
        }
        val node = ManifestNode(
            ManifestPeers(
                name,
                name in stateHosts,
                visibleStateHosts,
                stateHosts - region + (region - visibleStateHosts),
            ),
            stores[name],
            Invariants(),
            ::parse,
        )

        override fun linkUp(peer: VirtualHost) = Unit

        override fun linkDown(peer: VirtualHost) = Unit

        override fun receive(from: String, frame: LinkFrame, nowMs: Long): List<Outgoing> {
            val isDropped = mutation == Mutation.DROP_PULL_REPLIES && frame.manifestPullReply != null && name == "b4"
            return if (isDropped) emptyList() else node.receive(from, frame)
        }

        override fun tick(nowMs: Long): List<Outgoing> {
            committed[name]?.let(node::onCommitted)
            node.pollRecordToSync()?.let {
                stores[name] = it
                node.onSynced(it)
            }
            return node.tick(nowMs)
        }

        override fun wantedLinks(nowMs: Long) = if (name in stateHosts) stateHosts - name else region
    }

    private companion object {
        const val CONVERGE_MS = 5_000L
    }
}
