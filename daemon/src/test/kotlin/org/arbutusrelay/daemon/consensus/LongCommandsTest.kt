package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.error.ErrorKind
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LongCommandsTest {
    private val hosts = listOf("a", "b", "c")
    private val options = ReplicaGroupOptions(snapshotBytes = 4_000_000, maxPendingBytes = 2_000_000)

    /** Guards against a log that grows by whole documents until the memory of all replicas is exhausted at once. */
    @Test
    fun `a snapshot is taken after a number of bytes as well as after a number of entries`() = runTest {
        data class Case(val commandBytes: Int, val maxEntries: Long)
        for (case in listOf(Case(500_000, 8), Case(9_000_000, 1), Case(1_000, 300))) {
            val fixture = ReplicaGroupFixture(hosts)
            val storages = hosts.associateWith { MemoryConsensusStorage() }
            val groups = hosts.map { host ->
                fixture.startReplica(this, host, storages.getValue(host), hosts, options) {
                    it.copy(commandBytes = { case.commandBytes })
                }
            }
            try {
                val leader = fixture.awaitLeader(groups)
                (1L..250L).forEach { leader.propose(fixture.command(it)) }
                delay(2_000)
                val logs = storages.values.map { it.load().getOrNull()?.state?.entries.orEmpty().size }
                assertTrue(logs.all { it <= case.maxEntries }, "$case: $logs entries after the snapshot")
                assertEquals(setOf(250L * 251 / 2), fixture.stateMachines.values.map { it.sum }.toSet(), "$case")
            } finally {
                groups.forEach { it.stop() }
            }
        }
    }

    /** Guards against long commands that pile up at a leader whose group does not commit them. */
    @Test
    fun `a leader refuses further commands while too many bytes are not committed`() = runTest {
        val fixture = ReplicaGroupFixture(hosts)
        val groups = hosts.map { host ->
            fixture.startReplica(this, host, MemoryConsensusStorage(), hosts, options) {
                it.copy(commandBytes = { 500_000 })
            }
        }
        try {
            val leader = fixture.awaitLeader(groups)
            val leaderHost = hosts[groups.indexOf(leader)]
            fixture.cutOff(leaderHost)
            val results = (1L..50L).map { number ->
                async {
                    // One after the other, as a batch of proposals is appended as a whole.
                    delay(number)
                    withTimeoutOrNull(200) { leader.propose(fixture.command(number)) }
                }
            }.awaitAll()
            val refused = results.filterNotNull().map { it.leftOrNull()?.kind }
            assertEquals(setOf<ErrorKind?>(ErrorKind.OVERLOADED), refused.toSet())
            assertEquals(46, refused.size)
            fixture.reconnect(leaderHost)
            delay(5_000)
            assertTrue(fixture.awaitLeader(groups).propose(fixture.command(99)).isRight())
        } finally {
            groups.forEach { it.stop() }
        }
    }
}
