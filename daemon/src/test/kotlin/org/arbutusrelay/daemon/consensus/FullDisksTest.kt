package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.FileConsensusStorage
import org.arbutusrelay.daemon.storage.PowerLossDisk
import org.arbutusrelay.daemon.storage.StorageError
import org.arbutusrelay.daemon.storage.StoredReplica
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FullDisksTest {
    @TempDir
    lateinit var root: Path

    /** Guards against changes that are refused or unanswered after disks were full one after another. */
    @Test
    fun `changes are acknowledged while disks fill up one after another and afterwards`() {
        val counts = runSeeds(setOf("disk full"))
        assertTrue(counts.getValue("disk full") > 0, "$counts")
    }

    /** Guards against a group that does not recover, or loses a change, after full disks beside other faults. */
    @Test
    fun `a group recovers from full disks beside other faults`() {
        val kinds = setOf("disk full", "kill", "power loss", "cut", "stall", "slow disk")
        assertEquals(kinds, runSeeds(kinds).keys)
    }

    private fun runSeeds(kinds: Set<String>): Map<String, Int> {
        val counts = HashMap<String, Int>()
        val seeds = System.getProperty("fullDiskSeeds", "1..2").split("..").map { it.toLong() }
        for (seed in seeds.first()..seeds.last()) {
            val path = Files.createDirectories(root.resolve("$seed"))
            runTest { DiskRun(this, seed, path, kinds, counts).run() }
            path.toFile().deleteRecursively()
        }
        return counts
    }

    /** Five state hosts of a site with the links and disks of its sheet, of which two at most are lost at any time. */
    private class DiskRun(
        private val scope: TestScope,
        private val seed: Long,
        private val path: Path,
        private val kinds: Set<String>,
        private val counts: MutableMap<String, Int>,
    ) {
        private val random = Random(seed)
        private val hosts = listOf("a", "b", "c", "d", "e")
        private val regions = mapOf("a" to 1, "b" to 1, "c" to 2, "d" to 2, "e" to 3)
        private val fixture = ReplicaGroupFixture(hosts) { from, to ->
            if (regions[from] == regions[to]) 1 else random.nextLong(55, 59)
        }
        private val slow = HashSet<String>()
        private val disks = hosts.associateWith { PowerLossDisk(path.resolve(it), random) }
        private val dispatchers = HashMap<String, DiskDispatcher>()
        private val replicas = HashMap<String, ReplicaGroup<Long>>()
        private val down = HashSet<String>()
        private val lost = ArrayList<String>()
        private val acknowledged = HashSet<Long>()
        private val trace = ArrayList<String>()
        private var isBoundInForce = kinds.size == 1
        private var isOver = false
        private var number = 0L
        private var otherFaults = 0
        private val nowMs get() = scope.testScheduler.currentTime

        suspend fun run() {
            hosts.forEach { start(it, hosts) }
            val operator = scope.launch { changeRepeatedly() }
            val faults = ArrayList<Job>()
            try {
                delay(5_000)
                repeat(ROUNDS) { fillInTurn(faults) }
                faults.forEach { it.join() }
                isBoundInForce = true
                delay(SETTLE_MS)
                isOver = true
                operator.join()
                checkConverged("after the faults")
                losePowerEverywhere()
                changeWithin("after a loss of power")
                checkConverged("after a loss of power")
            } catch (e: AssertionError) {
                throw AssertionError("seed $seed at $nowMs ms: ${e.message}\n${trace.joinToString("\n")}", e)
            } finally {
                isOver = true
                (faults + operator).forEach { it.cancel() }
                hosts.forEach { end(it) }
            }
            hosts.forEach { checkLoaded(it) }
        }

        private suspend fun fillInTurn(faults: MutableList<Job>) {
            val remaining = hosts.toMutableSet()
            while (remaining.isNotEmpty()) {
                val leader = remaining.firstOrNull { replicas[it]?.isLeaseHeld() == true }
                val host = leader?.takeIf { random.nextBoolean() } ?: remaining.random(random)
                remaining -= host
                while (host in lost || lost.toSet().size > 1) delay(100)
                if (kinds.size > 1 && random.nextBoolean() && lost.isEmpty()) {
                    val other = (hosts - lost - host).random(random)
                    faults += scope.launch { injectFault(other, nextOtherKind()) }
                }
                // A disk that is full can be restarted, cut off or stalled as well.
                if (kinds.size > 1 && random.nextInt(4) == 0 && lost.isEmpty()) {
                    faults += scope.launch {
                        delay(random.nextLong(0, 2_000))
                        injectFault(host, nextOtherKind())
                    }
                }
                injectFault(host, "disk full")
                delay(random.nextLong(0, 10_000))
            }
        }

        /** Each kind in turn, so that all of them occur in a short run. */
        private fun nextOtherKind(): String =
            (kinds - "disk full").toList().let { it[((seed + otherFaults++) % it.size).toInt()] }

        private suspend fun injectFault(host: String, kind: String) {
            val forMs = random.nextLong(1_000, 6_000)
            counts.merge(kind, 1, Int::plus)
            trace += "$nowMs $host $kind for $forMs ms"
            lost += host
            when (kind) {
                "disk full" -> {
                    disks.getValue(host).isFull = true
                    delay(forMs)
                    disks.getValue(host).isFull = false
                }

                "cut" -> {
                    fixture.cutOff(host)
                    delay(forMs)
                    if (host !in down) fixture.reconnect(host)
                }

                "stall" -> dispatchers.getValue(host).stalledUntilMs = nowMs + forMs

                "slow disk" -> {
                    slow += host
                    delay(forMs)
                    slow -= host
                }

                else -> restart(host, forMs, isPowerLost = kind == "power loss")
            }
            if (kind != "disk full") delay(CATCH_UP_MS)
            lost.remove(host)
            trace += "$nowMs $host back from $kind"
        }

        private suspend fun restart(host: String, forMs: Long, isPowerLost: Boolean) {
            if (!down.add(host)) return
            end(host)
            if (isPowerLost) disks.getValue(host).losePower()
            delay(forMs)
            // A process that ends because its disk is full is started again by its supervisor.
            while (!start(host, null)) delay(SUPERVISOR_MS)
            down -= host
        }

        private suspend fun end(host: String) {
            fixture.cutOff(host)
            disks.getValue(host).endProcess()
            replicas.remove(host)?.stop()
        }

        private fun start(host: String, foundingVoters: List<String>?): Boolean {
            val dispatcher = DiskDispatcher(StandardTestDispatcher(scope.testScheduler)) {
                if (host in slow) random.nextLong(50, 200) else random.nextLong(1, 8)
            }
            dispatchers[host] = dispatcher
            val files = disks.getValue(host).startProcess()
            val storage = FileConsensusStorage(path.resolve(host), SEGMENT_BYTES, files)
            val loaded = storage.load()
            if (loaded.isLeft()) trace += "$nowMs $host does not start: $loaded"
            assertTrue(loaded.isRight() || disks.getValue(host).isFull, "$host: $loaded")
            if (loaded.isLeft()) return false
            replicas[host] = fixture.startReplica(
                scope,
                host,
                LoadedStorage(storage, loaded),
                foundingVoters,
                OPTIONS,
                storageDispatcher = dispatcher,
            ) {
                it.copy(
                    heartbeatMs = 120,
                    leaseMs = 400,
                    electionTimeoutMinMs = 600,
                    electionTimeoutMaxMs = 1_200,
                    recoveryQuietMs = 5_000,
                    trailingEntries = 5,
                    trailingBytes = 20_000,
                    maxBatchBytes = 10_000,
                    snapshotChunkBytes = 100,
                )
            }
            fixture.reconnect(host)
            return true
        }

        private suspend fun changeRepeatedly() {
            while (!isOver) {
                changeWithin("while faults happen")
                delay(random.nextLong(20, 1_500))
            }
        }

        /** Sends a change until it is acknowledged, as the operator does, and checks the time where a bound holds. */
        private suspend fun changeWithin(moment: String) {
            val change = command()
            val startMs = nowMs
            var host = hosts.random(random)
            var boundSinceMs: Long? = null
            while (true) {
                if (isBoundInForce && boundSinceMs == null) boundSinceMs = nowMs
                val replica = replicas[host]
                val leader = replica?.leaderName
                if (replica != null && (leader == null || leader == host)) {
                    val answer = withTimeoutOrNull(COMMAND_TIMEOUT_MS) { replica.propose(change) }
                    if (answer != null && answer.isRight()) break
                }
                host = leader?.takeIf { it != host && it in replicas } ?: hosts.random(random)
                delay(30)
                val waitedMs = nowMs - (boundSinceMs ?: nowMs)
                assertTrue(waitedMs <= ACK_MS, "change $number is not acknowledged $moment: ${describe()}")
            }
            acknowledged += checkNotNull(change.manifest).number
            if (nowMs - startMs > 2_000) trace += "$nowMs change $number took ${nowMs - startMs} ms"
            checkVisible(host, moment)
        }

        /** A state that a replica shows after a later command was applied includes every change acknowledged before. */
        private fun checkVisible(host: String, moment: String) {
            val missing = acknowledged - fixture.stateMachines.getValue(host).numbers
            assertEquals(emptySet(), missing, "$host shows an older state $moment")
        }

        private suspend fun checkConverged(moment: String) {
            changeWithin(moment)
            delay(CATCH_UP_MS)
            for (host in hosts) checkVisible(host, moment)
            assertEquals(1, fixture.stateMachines.values.map { it.sum }.distinct().size, "states differ $moment")
            assertEquals(setOf(hosts.toSet()), replicas.values.map { it.voterHosts }.toSet(), "voters $moment")
            assertEquals(setOf(null), replicas.values.map { it.failure }.toSet(), "failures $moment")
            assertTrue(replicas.values.none { it.isStorageFailing }, "storage fails $moment")
        }

        private suspend fun losePowerEverywhere() {
            trace += "$nowMs all lose power"
            hosts.forEach { end(it) }
            hosts.forEach { disks.getValue(it).losePower() }
            hosts.forEach { start(it, null) }
        }

        private fun checkLoaded(host: String) {
            val files = disks.getValue(host).startProcess()
            FileConsensusStorage(path.resolve(host), SEGMENT_BYTES, files).use { storage ->
                val entries = storage.load().fold({ error("seed $seed: $host: $it") }, { it?.state?.entries.orEmpty() })
                entries.zipWithNext { a, b -> assertEquals(a.index + 1, b.index, "seed $seed: $host") }
            }
        }

        private fun command(): ReplicatedCommand {
            val textLength = if (random.nextInt(4) == 0) random.nextInt(1_000, 12_000) else 10
            return ReplicatedCommand(manifest = ManifestRecord(++number, "", "x".repeat(textLength)))
        }

        private fun describe() = hosts.joinToString { host ->
            val replica = replicas[host]
            "$host: ${replica?.term} ${replica?.leaderName} ${replica?.voters} failing ${replica?.isStorageFailing}"
        }
    }

    private class LoadedStorage(storage: ConsensusStorage, private val loaded: Either<StorageError, StoredReplica?>) :
        ConsensusStorage by storage {
        override fun load(): Either<StorageError, StoredReplica?> = loaded
    }

    private companion object {
        const val ROUNDS = 2
        const val SEGMENT_BYTES = 4_000L
        const val CATCH_UP_MS = 4_000L
        const val SETTLE_MS = 12_000L
        const val SUPERVISOR_MS = 300L
        const val COMMAND_TIMEOUT_MS = 850L

        /** Time in which an order of the operator must be acknowledged, from the sheets of the sites (`ack_ms`). */
        const val ACK_MS = 6_000L
        val OPTIONS = ReplicaGroupOptions(
            snapshotEntries = 20,
            snapshotBytes = 20_000,
            replaceAfterMs = 1_500,
            // A process that is killed hands nothing over.
            transferWaitMs = 1,
        )
    }
}
