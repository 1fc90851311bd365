package org.arbutusrelay.daemon.site

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.daemon.link.InMemoryLinks
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail

/** Documents of a site under random faults, judged by what the operator and the callers of entry hosts can see. */
@OptIn(ExperimentalCoroutinesApi::class)
class SiteDocumentRandomTest {
    /**
     * Guards against an acknowledged document that an entry host does not have in time, that it replaces by an older
     * one, or that a later read does not return.
     */
    @Test
    fun `an acknowledged document is in force in time and never goes back under random faults`() {
        val faults = HashMap<String, Int>()
        var documents = 0
        val seeds = System.getProperty("siteDocumentSeeds", "1..6").split("..").map { it.toLong() }
        for (seed in seeds.first()..seeds.last()) {
            runTest { documents += DocumentRun(this, seed, faults).run() }
        }
        assertEquals(FAULT_KINDS.toSet(), faults.keys, "$faults")
        assertTrue(documents > MIN_DOCUMENTS_PER_SEED * (seeds.last() - seeds.first() + 1), "$documents documents")
    }

    private class Acknowledged(val number: Long, val atMs: Long)

    private class DocumentRun(
        private val scope: TestScope,
        private val seed: Long,
        private val faults: MutableMap<String, Int>,
    ) {
        private val random = Random(seed)
        private val stateHosts = listOf("10.1.0.1", "10.1.1.1", "10.2.0.1", "10.3.0.1", "10.3.1.1")
        private val entryHosts = listOf("10.1.0.9", "10.1.1.9", "10.2.0.9", "10.3.0.9", "10.3.1.9")
        private val links = InMemoryLinks(
            scope.backgroundScope,
            Random(seed),
            { from, to -> if (from.region == to.region) 1 else 30 },
        )
        private val fixture = SiteFaultFixture(scope, links, stateHosts, entryHosts, random)
        private val trace = ArrayList<String>()
        private val acknowledged = ArrayList<Acknowledged>()
        private val numbers = HashMap<String, Long>()
        private val entryDisturbedMs = HashMap<String, Long>()
        private var coreDisturbedMs = 0L
        private val ongoing = HashMap<String, Int>()
        private var nextNumber = 0L
        private var isOver = false

        suspend fun run(): Int {
            fixture.onView = ::onView
            fixture.start()
            val others = listOf(scope.launch { publishRepeatedly() }, scope.launch { readRepeatedly() }) +
                scope.launch { checkRepeatedly() }
            val running = ArrayList<Job>()
            try {
                delay(FIRST_FAULT_MS)
                repeat(FAULTS) {
                    running += scope.launch { injectFault() }
                    delay(random.nextLong(200, 6_000))
                }
                running.joinAll()
                delay(SETTLE_MS)
                isOver = true
                others.joinAll()
            } finally {
                isOver = true
                others.joinAll()
                running.joinAll()
                fixture.stopAll()
            }
            return acknowledged.size
        }

        private fun onView(entryHost: String, view: SiteView) {
            val number = view.state.document?.number ?: -1
            val previous = numbers[entryHost] ?: -1
            verify(number >= previous) { "$entryHost went back from $previous to $number" }
            numbers[entryHost] = number
        }

        private suspend fun publishRepeatedly() {
            while (!isOver) {
                nextNumber += random.nextLong(1, 4)
                val content = "$nextNumber ${"x".repeat(random.nextInt(400))}".toByteArray()
                if (isPublished(content)) acknowledged += Acknowledged(nextNumber, fixture.nowMs)
                delay(random.nextLong(100, 1_500))
            }
        }

        private suspend fun isPublished(content: ByteArray): Boolean {
            repeat(MAX_TRIES) {
                val target = stateHosts.random(random)
                val result = withTimeoutOrNull(CALL_TIMEOUT_MS) { fixture.command(target) { it.publish(content) } }
                if (result != null) return true
                delay(RETRY_MS)
            }
            return false
        }

        private suspend fun readRepeatedly() {
            while (!isOver) {
                val expected = acknowledged.lastOrNull()?.number ?: -1
                val result =
                    withTimeoutOrNull(CALL_TIMEOUT_MS) { fixture.command(stateHosts.random(random)) { it.read() } }
                val number = result?.state?.document?.number ?: -1
                verify(result == null || number >= expected) { "read $number, which is older than $expected" }
                delay(random.nextLong(50, 300))
            }
        }

        private suspend fun checkRepeatedly() {
            while (!isOver) {
                for (host in entryHosts) checkInForce(host)
                delay(CHECK_INTERVAL_MS)
            }
        }

        private fun checkInForce(host: String) {
            val nowMs = fixture.nowMs
            val isCoreStable = ongoing.keys.none { it.startsWith("core") } && nowMs - coreDisturbedMs >= CONTACT_MS
            val isCalm = host !in ongoing && nowMs - (entryDisturbedMs[host] ?: 0) >= CONTACT_MS
            if (!isCoreStable || !isCalm) return
            val due = acknowledged.lastOrNull { nowMs - it.atMs > APPLY_MS }?.number ?: return
            val number = fixture.documentNumber(host) ?: -1
            verify(number >= due) { "$host serves $number, but $due is due" }
        }

        private fun verify(isValid: Boolean, detail: () -> String) =
            if (isValid) Unit else fail("seed $seed, ${fixture.nowMs} ms: ${detail()}; ${trace.joinToString("; ")}")

        private suspend fun injectFault() {
            val forMs = random.nextLong(100, 4_000)
            when (val kind = FAULT_KINDS.random(random)) {
                "entry restart" -> restartEntryHosts(listOf(entryHosts.random(random)), kind)

                "state restart" -> restartStateHosts(
                    stateHosts.shuffled(random).take(random.nextInt(1, 3)),
                    kind,
                    forMs,
                )

                "all state hosts" -> restartStateHosts(stateHosts, kind, forMs)

                "all hosts" -> {
                    record(kind, "")
                    scope.launch {
                        delay(random.nextLong(0, 2_000))
                        restartEntryHosts(entryHosts, kind)
                    }
                    restartStateHosts(stateHosts, kind, forMs)
                }

                "cut" -> {
                    val part = stateHosts.shuffled(random).take(2)
                    during(listOf("core"), kind, "$part for $forMs ms", forMs) {
                        links.partition(part, stateHosts - part.toSet(), it)
                    }
                }

                "entry cut" -> {
                    val part = stateHosts.shuffled(random).take(random.nextInt(1, 4))
                    val entry = entryHosts.random(random)
                    during(listOf(entry), kind, "$entry from $part for $forMs ms", forMs) {
                        links.partition(listOf(entry), part, it)
                    }
                }

                else -> during(listOf("core") + entryHosts, "loss", "for $forMs ms", forMs) {
                    links.lossPerMille = if (it) LOSS_PER_MILLE else 0
                }
            }
        }

        private suspend fun during(
            who: List<String>,
            kind: String,
            detail: String,
            forMs: Long,
            set: (Boolean) -> Unit,
        ) {
            record(kind, detail)
            disturb(who)
            set(true)
            delay(forMs)
            set(false)
            calm(who)
        }

        private suspend fun restartStateHosts(hosts: List<String>, kind: String, forMs: Long) {
            val stopped = hosts.filter { fixture.isRunning(it) }
            record(kind, "$stopped for $forMs ms")
            disturb(listOf("core"))
            stopped.forEach { fixture.killStateHost(it) }
            delay(forMs)
            for (host in stopped) {
                delay(random.nextLong(0, 300))
                fixture.startStateHost(host)
            }
            calm(listOf("core"))
        }

        private fun restartEntryHosts(hosts: List<String>, kind: String) {
            record(kind, "$hosts")
            disturb(hosts)
            for (host in hosts) {
                numbers.remove(host)
                fixture.startEntryHost(host)
            }
            calm(hosts)
        }

        private fun disturb(who: List<String>) = who.forEach { ongoing.merge(it, 1, Int::plus) }

        private fun calm(who: List<String>) = who.forEach {
            ongoing.compute(it) { _, count -> (checkNotNull(count) - 1).takeIf { left -> left > 0 } }
            if (it == "core") coreDisturbedMs = fixture.nowMs else entryDisturbedMs[it] = fixture.nowMs
        }

        private fun record(kind: String, detail: String) {
            faults.merge(kind, 1, Int::plus)
            trace += "${fixture.nowMs} $kind $detail"
        }
    }

    private companion object {
        val FAULT_KINDS = listOf(
            "entry restart",
            "state restart",
            "all state hosts",
            "all hosts",
            "cut",
            "entry cut",
            "loss",
        )
        const val FIRST_FAULT_MS = 8_000L
        const val FAULTS = 40
        const val MAX_TRIES = 6
        const val CALL_TIMEOUT_MS = 1_000L
        const val RETRY_MS = 200L
        const val CHECK_INTERVAL_MS = 100L
        const val SETTLE_MS = 12_000L
        const val LOSS_PER_MILLE = 100

        /** Bounds of the site: a host in contact for this long has a document in time after it was acknowledged. */
        const val CONTACT_MS = 5_000L
        const val APPLY_MS = 3_000L

        /** Far below the number of tries, as no document is acknowledged while the group has no leader. */
        const val MIN_DOCUMENTS_PER_SEED = 20
    }
}
