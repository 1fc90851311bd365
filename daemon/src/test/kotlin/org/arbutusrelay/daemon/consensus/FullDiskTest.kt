package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.consensus.ConsensusEffect
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import org.arbutusrelay.daemon.storage.StorageError
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class FullDiskTest {
    private val hosts = listOf("a", "b", "c", "d", "e")

    /** Guards against a replica that ends with a failed write while its process runs on as a voter. */
    @Test
    fun `a group works on after disks were full for a time`() = runTest {
        data class Case(
            val name: String,
            val isLeader: Boolean,
            val rounds: Int,
            val disksAtOnce: Int,
            val fullMs: Long,
        )

        val cases = listOf(
            Case("the leader, three times", isLeader = true, rounds = 3, disksAtOnce = 1, fullMs = 4_500),
            Case("a follower, five times", isLeader = false, rounds = 5, disksAtOnce = 1, fullMs = 4_500),
            Case("the leader, for a minute", isLeader = true, rounds = 1, disksAtOnce = 1, fullMs = 60_000),
            Case("all disks at once", isLeader = true, rounds = 2, disksAtOnce = 5, fullMs = 4_500),
        )
        for (case in cases) {
            val fixture = ReplicaGroupFixture(hosts)
            val disks = hosts.associateWith { FullableStorage() }
            val replicas = hosts.associateWith { fixture.startReplica(this, it, disks.getValue(it), hosts) }
            var number = 0L

            suspend fun propose() = withTimeoutOrNull(5_000) {
                fixture.awaitLeader(replicas.values).propose(fixture.command(++number)).getOrNull()
            }
            try {
                repeat(case.rounds) {
                    assertNotNull(propose(), "$case")
                    val leader = fixture.awaitLeader(replicas.values)
                    val (leading, following) = hosts.partition { replicas[it] === leader }
                    val order = if (case.isLeader) leading + following else following
                    val full = order.take(case.disksAtOnce)
                    full.forEach { disks.getValue(it).isFull = true }
                    // The first command after the disk is full is the one that shows it.
                    withTimeoutOrNull(1_000) { leader.propose(fixture.command(++number)) }
                    delay(3_000)
                    if (case.disksAtOnce == 1) assertNotNull(propose(), "$case: with a full disk")
                    if (case.isLeader) assertTrue(full.all { replicas.getValue(it).isStorageFailing }, "$case")
                    delay(case.fullMs - 3_000)
                    full.forEach { disks.getValue(it).isFull = false }
                    delay(5_000)
                    assertEquals(listOf(null), replicas.values.map { it.failure }.distinct(), "$case")
                }
                assertNotNull(propose(), "$case: after the last round")
                delay(1_000)
                assertEquals(1, fixture.stateMachines.values.map { it.sum }.distinct().size, "$case")
            } finally {
                replicas.values.forEach { it.stop() }
            }
        }
    }

    /** Guards against a stop that waits for a disk that stays full. */
    @Test
    fun `a replica stops while its disk is full`() = runTest {
        val fixture = ReplicaGroupFixture(listOf("a"))
        val disk = FullableStorage()
        val replica = fixture.startReplica(this, "a", disk, listOf("a"))
        fixture.awaitLeader(listOf(replica))
        disk.isFull = true
        withTimeoutOrNull(1_000) { replica.propose(fixture.command(1)) }
        val startMs = testScheduler.currentTime
        replica.stop()
        assertTrue(testScheduler.currentTime - startMs <= 1_000)
    }

    private class FullableStorage(private val inner: MemoryConsensusStorage = MemoryConsensusStorage()) :
        ConsensusStorage by inner {
        var isFull = false

        override fun write(writes: List<ConsensusEffect.Persist>): Either<StorageError, Unit> =
            if (isFull) {
                StorageError.Unavailable(
                    Path.of("log"),
                    "No space left on device",
                ).left()
            } else {
                inner.write(writes)
            }
    }
}
