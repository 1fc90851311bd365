package org.arbutusrelay.core.routing

import org.arbutusrelay.core.routing.SchedulerFixture.remote
import org.arbutusrelay.core.routing.SchedulerFixture.request
import org.arbutusrelay.core.routing.SchedulerFixture.server
import org.arbutusrelay.core.routing.SchedulerFixture.table
import org.arbutusrelay.schema.manifest.Caller
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Random calls on the scheduler; guarantee violations are fatal. */
class SchedulerRandomTest {
    private val caller =
        Caller("commune", "hue", tokenSha256 = emptyList(), requestsPerSecond = 10_000, maxInFlight = 40)

    @Test
    fun `random runs decide each request once and release each slot`() {
        for (seed in 1L..40L) {
            println("seed $seed")
            RandomRun(seed).run()
        }
    }

    @Test
    fun `concurrent submissions, completions and table updates leak no slot`() {
        val scheduler = DefaultRequestScheduler({ caller })
        val nowMs = AtomicLong()
        val final = ConcurrentHashMap<Long, AtomicLong>()
        val tables = listOf(
            table(server("a"), server("b"), server("c")),
            table(server("a", version = 2), server("b", isLeaving = true)),
            table(server("a"), server("b", incarnation = 2), server("c"), remotes = listOf(remote("danang"))),
        )
        scheduler.updateTable(tables[0])
        val workers = (0L until THREADS).map { worker ->
            thread { StressWorker(scheduler, nowMs, final, Random(worker)).run(worker) }
        }
        while (workers.any { it.isAlive }) tables.forEach(scheduler::updateTable)
        workers.forEach { it.join() }
        val late = scheduler.poll(nowMs.get() + 1_000_000)
        assertTrue(late.all { it.placement is Placement.Refused })
        late.forEach { final.getValue(it.profile.id.requestNumber).incrementAndGet() }
        assertEquals(0, scheduler.openAttempts() + scheduler.queuedRequests())
        assertEquals(0, scheduler.loadPermille())
        assertEquals(setOf(1L), final.values.map { it.get() }.toSet(), "number of final decisions for each request")
    }

    private class StressWorker(
        private val scheduler: RequestScheduler,
        private val nowMs: AtomicLong,
        private val final: ConcurrentHashMap<Long, AtomicLong>,
        private val random: Random,
    ) {
        private val open = ArrayDeque<PlacedAttempt>()

        fun run(worker: Long) {
            for (step in 0 until STEPS) {
                val now = nowMs.incrementAndGet()
                val profile = request(worker * STEPS + step, now + random.nextLong(50, 5_000))
                final[profile.id.requestNumber] = AtomicLong()
                recordDecision(profile, scheduler.submit(profile.copy(isIsolated = random.nextInt(50) == 0), now))
                if (open.size > 2) end(now)
            }
            while (open.isNotEmpty()) end(nowMs.incrementAndGet())
        }

        private fun end(now: Long) {
            scheduler.complete(open.removeFirst(), AttemptResult.entries.random(random), now)
                .forEach { recordDecision(it.profile, it.placement) }
        }

        private fun recordDecision(profile: RequestProfile, placement: Placement) {
            if (placement != Placement.Queued) final.getValue(profile.id.requestNumber).incrementAndGet()
            if (placement is Placement.Run) open.addLast(placement.attempt)
            if (placement is Placement.Forward) open.addLast(placement.attempt)
        }
    }

    private inner class RandomRun(seed: Long) {
        private val random = Random(seed)
        private val scheduler = DefaultRequestScheduler({ caller }, settings = SchedulerSettings(maxQueued = 20))
        private val open = ArrayList<PlacedAttempt>()
        private val decisions = HashMap<Long, Int>()
        private var queued = HashMap<Long, RequestProfile>()
        private var current = emptyMap<String, Boolean>()
        private var nowMs = 0L
        private var version = 1L

        fun run() {
            replaceTable()
            repeat(2_000) { number ->
                nowMs += random.nextLong(30)
                when (random.nextInt(10)) {
                    in 0..4 -> submit(number.toLong())
                    in 5..7 -> if (open.isNotEmpty()) end(open.removeAt(random.nextInt(open.size)))
                    8 -> recordDecision(scheduler.poll(nowMs)).also { checkDeadlines() }
                    else -> hedgeOrReplaceTable()
                }
            }
            while (open.isNotEmpty()) end(open.removeLast())
            nowMs += 1_000_000
            recordDecision(scheduler.poll(nowMs))
            assertTrue(decisions.values.all { it == 1 } && queued.isEmpty())
            assertEquals(0, scheduler.openAttempts() + scheduler.queuedRequests())
        }

        private fun submit(number: Long) {
            val profile = request(number, nowMs + random.nextLong(1, 3_000), "commune", random.nextInt(3)).copy(
                isIdempotent = random.nextBoolean(),
                isIsolated = random.nextInt(20) == 0,
                isForwarded = random.nextInt(10) == 0,
                allowedRegions = listOf(listOf("hue"), listOf("danang"), listOf("hue", "danang")).random(random),
            )
            record(profile, scheduler.submit(profile, nowMs))
        }

        private fun record(profile: RequestProfile, placement: Placement) {
            val number = profile.id.requestNumber
            if (placement == Placement.Queued) {
                queued[number] = profile
                return
            }
            queued.remove(number)
            decisions.merge(number, 1, Int::plus)
            if (placement is Placement.Run) checkRun(placement.attempt)
            if (placement is Placement.Forward) {
                assertTrue(!profile.isForwarded && placement.region in profile.allowedRegions)
                open += placement.attempt
            }
        }

        private fun checkRun(attempt: PlacedAttempt) {
            assertEquals(false, current[attempt.backendServer], "${attempt.backendServer} is leaving or removed")
            val sharing = open.filter {
                it.backendServer == attempt.backendServer && it.incarnation == attempt.incarnation
            }
            val mustBeAlone = attempt.profile.isIsolated || sharing.any { it.profile.isIsolated }
            assertTrue(!mustBeAlone || sharing.isEmpty(), "an isolated request shares ${attempt.backendServer}")
            open += attempt
        }

        private fun end(attempt: PlacedAttempt) {
            val result = AttemptResult.entries.random(random)
            recordDecision(scheduler.complete(attempt, result, nowMs))
            assertTrue(scheduler.complete(attempt, result, nowMs).isEmpty(), "an attempt ends once")
            assertEquals(open.size, scheduler.openAttempts())
        }

        private fun recordDecision(placed: List<QueuedPlacement>) = placed.forEach { record(it.profile, it.placement) }

        private fun checkDeadlines() = assertTrue(queued.values.none { it.deadlineMs < nowMs }, "expired but queued")

        private fun hedgeOrReplaceTable() {
            val attempt = open.randomOrNull(random)
            val hedge = attempt?.let { scheduler.tryHedge(it, nowMs) }
            if (hedge == null) return replaceTable()
            assertTrue(hedge.profile.isIdempotent && hedge.backendServer != attempt.backendServer)
            checkRun(hedge)
        }

        private fun replaceTable() {
            val servers = listOf("a", "b", "c").filter { random.nextInt(5) > 0 }.map {
                server(it, 3, random.nextLong(2), random.nextLong(1, 3), ++version, random.nextInt(5) == 0)
            }
            current = servers.associate { it.name to it.isLeaving }
            val remotes = if (random.nextBoolean()) listOf(remote("danang")) else emptyList()
            scheduler.updateTable(table(*servers.toTypedArray(), remotes = remotes))
        }
    }

    private companion object {
        private const val THREADS = 4L
        private const val STEPS = 3_000L
    }
}
