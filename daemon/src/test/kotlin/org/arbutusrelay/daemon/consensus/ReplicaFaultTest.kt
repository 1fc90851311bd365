package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ReplicaFaultTest {
    /** Guards against faults in series and overlapping after which a replica or an acknowledged command is missing. */
    @Test
    fun `all replicas vote again and nothing is lost after random faults`() {
        val faults = HashMap<String, Int>()
        val seeds = System.getProperty("replicaFaultSeeds", "1..12").split("..").map { it.toLong() }
        for (seed in seeds.first()..seeds.last()) runTest { FaultRun(this, seed, faults).run() }
        assertEquals(setOf("cut", "stop", "disk lost", "disk full"), faults.keys, "$faults")
    }

    /**
     * Six hosts, of which at most two are lost at any time: one that is back counts as lost for [CATCH_UP_MS].
     *
     * A voter of six that is away is removed after a while, and must be added again.
     */
    private class FaultRun(
        private val scope: TestScope,
        private val seed: Long,
        private val faults: MutableMap<String, Int>,
    ) {
        private val random = Random(seed)
        private val founders = listOf("a", "b", "c", "d", "e")
        private val hosts = founders + "f"
        private val fixture = ReplicaGroupFixture(hosts)
        private val options = ReplicaGroupOptions(replaceAfterMs = 1_500, transferWaitMs = 1_500, snapshotEntries = 40)
        private val disks = hosts.associateWith { FullableStorage() }.toMutableMap()
        private val replicas = hosts.associateWith { start(it, founders) }.toMutableMap()
        private val lost = HashSet<String>()
        private val acknowledged = HashSet<Long>()
        private val trace = ArrayList<String>()
        private var isOver = false

        suspend fun run() {
            val caller = scope.launch { proposeRepeatedly() }
            val running = ArrayList<Job>()
            try {
                fixture.awaitLeader(replicas.values)
                repeat(FAULTS) {
                    delay(random.nextLong(300, 2_500))
                    val host = (hosts - lost).random(random)
                    if (lost.size < 2) running += scope.launch { injectFault(host) }
                }
                running.forEach { it.join() }
                delay(SETTLE_MS)
                isOver = true
                caller.join()
                check()
            } finally {
                isOver = true
                caller.join()
                running.forEach { it.join() }
                replicas.values.forEach { it.stop() }
            }
        }

        private suspend fun check() {
            val message = "seed $seed: ${trace.joinToString("; ")}"
            val leader = fixture.awaitLeader(replicas.values)
            assertEquals(hosts.toSet(), leader.voterHosts, message)
            assertEquals(hosts.size, leader.voters.size, message)
            assertEquals(setOf(null), replicas.values.map { it.failure }.toSet(), message)
            assertNotNull(withTimeoutOrNull(2_000) { leader.propose(fixture.command(0)).getOrNull() }, message)
            delay(1_000)
            for (host in hosts) {
                val missing = acknowledged - fixture.stateMachines.getValue(host).numbers
                assertEquals(emptySet(), missing, "$host: $message")
            }
            assertTrue(acknowledged.size > MIN_ACKNOWLEDGED, "${acknowledged.size} commands; $message")
        }

        private suspend fun proposeRepeatedly() {
            var number = 0L
            while (!isOver) {
                delay(100)
                val leader = replicas.values.firstOrNull { it.isLeaseHeld() } ?: continue
                val result = withTimeoutOrNull(1_000) { leader.propose(fixture.command(++number)) } ?: continue
                if (result.isRight()) acknowledged += number
            }
        }

        private suspend fun injectFault(host: String) {
            val kind = listOf("cut", "stop", "disk lost", "disk full").random(random)
            val forMs = random.nextLong(300, 8_000)
            faults.merge(kind, 1, Int::plus)
            trace += "${scope.testScheduler.currentTime} $host $kind for $forMs ms"
            lost += host
            when (kind) {
                "cut" -> {
                    fixture.cutOff(host)
                    delay(forMs)
                    fixture.reconnect(host)
                }

                "disk full" -> {
                    disks.getValue(host).isFull = true
                    delay(forMs)
                    disks.getValue(host).isFull = false
                }

                else -> restart(host, forMs, isDiskLost = kind == "disk lost")
            }
            delay(CATCH_UP_MS)
            lost -= host
        }

        /** Cut off first, so that the stop hands nothing over, as when the process is killed. */
        private suspend fun restart(host: String, forMs: Long, isDiskLost: Boolean) {
            fixture.cutOff(host)
            replicas.getValue(host).stop()
            delay(forMs)
            if (isDiskLost) disks[host] = FullableStorage()
            fixture.reconnect(host)
            replicas[host] = start(host, null)
        }

        private fun start(host: String, foundingVoters: List<String>?) =
            fixture.startReplica(scope, host, disks.getValue(host), foundingVoters, options)
    }

    private class FullableStorage(private val inner: MemoryConsensusStorage = MemoryConsensusStorage()) :
        ConsensusStorage by inner {
        var isFull = false

        override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> =
            if (isFull) StorageError.Unavailable(Path.of("log"), "full").left() else inner.write(writes)
    }

    private companion object {
        const val FAULTS = 25
        const val CATCH_UP_MS = 4_000L
        const val SETTLE_MS = 12_000L

        /** Far below the number of tries, as a group may elect a leader for seconds after each fault. */
        const val MIN_ACKNOWLEDGED = 100
    }
}
