package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.consensus.LostVoter
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class ReplicaGroupTest {
    private val names = listOf("a", "b", "c")
    private val fixture = ReplicaGroupFixture(names)

    /** Guards against proposals that are lost, applied twice or completed with the result of another one. */
    @Test
    fun `concurrent proposals are applied once on every replica and share syncs`() = runTest {
        val storages = names.associateWith { MemoryConsensusStorage() }
        val groups = names.map { startReplica(it, storages.getValue(it), names) }
        val leader = awaitLeader(groups)
        val results = (1L..200L).map { async { leader.propose(command(it)).getOrNull() } }.awaitAll()
        assertEquals(200, results.filterNotNull().toSet().size)
        delay(500)
        assertEquals(setOf(200L * 201 / 2), fixture.stateMachines.values.map { it.sum }.toSet())
        assertTrue(storages.values.all { it.logSyncCount < 100 }, "syncs: ${storages.values.map { it.logSyncCount }}")
        val follower = groups.first { it !== leader }
        assertEquals(Outcome.NOT_RUN, follower.propose(command(1)).leftOrNull()?.kind?.outcome)
        groups.forEach { it.stop() }
    }

    /** Guards against a planned stop that leaves the group without a leader for an election timeout. */
    @Test
    fun `a stopping leader transfers leadership and the group continues`() = runTest {
        val groups = names.map { startReplica(it, MemoryConsensusStorage(), names) }
        val oldLeader = awaitLeader(groups)
        oldLeader.stop()
        val others = groups - oldLeader
        val started = testScheduler.currentTime
        val newLeader = awaitLeader(others)
        assertTrue(testScheduler.currentTime - started < 1_000, "no leadership transfer took place")
        assertNotNull(newLeader.propose(command(7)).getOrNull())
        others.forEach { it.stop() }
    }

    /** Guards against a replica that is not added again after a disk loss, or votes before it has caught up. */
    @Test
    fun `a replica with a lost disk is added again under a new identity`() = runTest {
        val groups = names.map { startReplica(it, MemoryConsensusStorage(), names) }
        val leader = awaitLeader(groups)
        (1L..50L).forEach { leader.propose(command(it)) }
        val lost = groups.first { it !== leader }
        lost.stop()
        val joined = startReplica(lost.name(groups), MemoryConsensusStorage(), foundingVoters = null)
        delay(10_000)
        val host = lost.name(groups)
        assertEquals(3, leader.voters.size, "${leader.voters}")
        assertTrue(leader.voters.any { it.startsWith("$host#") } && host !in leader.voters, "${leader.voters}")
        assertEquals(50L * 51 / 2, fixture.stateMachines.getValue(host).sum)
        assertEquals(null, joined.failure)
        (groups - lost + joined).forEach { it.stop() }
    }

    /** Guards against a group of two that stays unavailable after a disk loss, and against a second removal. */
    @Test
    fun `a lost voter of two is removed once and its host is added again`() = runTest {
        val hosts = listOf("a", "b")
        val pair = ReplicaGroupFixture(hosts)
        val storage = MemoryConsensusStorage()
        val first =
            listOf(startReplica("a", storage, hosts, pair), startReplica("b", MemoryConsensusStorage(), hosts, pair))
        val leader = awaitLeader(first)
        (1L..50L).forEach { leader.propose(command(it)) }
        first.reversed().forEach { it.stop() }
        val lost = LostVoter("b", first[0].term)
        val survivor = startReplica("a", storage, null, pair, lost)
        val replacement = startReplica("b", MemoryConsensusStorage(), null, pair)
        delay(8_000)
        assertEquals(0, survivor.removedLostVoters)
        delay(12_000)
        assertEquals(1, survivor.removedLostVoters)
        assertEquals(listOf("a", "b#"), survivor.voters.map { it.take(2) })
        assertNotNull(survivor.propose(command(51)).getOrNull())
        assertEquals(51L * 52 / 2, pair.stateMachines.getValue("a").sum)
        survivor.stop()
        val restarted = startReplica("a", storage, null, pair, lost)
        delay(20_000)
        assertEquals(listOf(0L, 1L), listOf(restarted.removedLostVoters, restarted.refusedLostVoters))
        assertEquals(2, restarted.voters.size)
        listOf(restarted, replacement).forEach { it.stop() }
    }

    /** Guards against proposals that never complete after a failure of the state machine. */
    @Test
    fun `a failing state machine stops the replica and fails proposals as unknown`() = runTest {
        val group = startReplica("a", MemoryConsensusStorage(), listOf("a"))
        val leader = awaitLeader(listOf(group))
        fixture.stateMachines.getValue("a").error = IllegalArgumentException("simulated failure")
        assertEquals(Outcome.UNKNOWN, leader.propose(command(1)).leftOrNull()?.kind?.outcome)
        assertNotNull(group.failure)
        assertEquals(false, group.isLeaseHeld())
        group.stop()
    }

    /** Guards against a replica that keeps running after close while its successor uses the same data folder. */
    @Test
    fun `close stops the replica and closes its storage before it returns`() = runBlocking {
        val storage = CloseTrackingStorage()
        val group = ReplicaGroup(
            name = "manifest",
            storage = storage,
            stateMachine = ReplicaGroupFixture.SumStateMachine(),
            network = fixture.FakeNetwork("a"),
            stateHosts = { setOf("a") },
            random = Random(1),
            foundingVoters = listOf("a"),
        )
        assertEquals(null, group.start().leftOrNull())
        val leader = awaitLeader(listOf(group))
        group.close()
        assertTrue(storage.isClosed)
        assertEquals(false, leader.isLeaseHeld())
        assertEquals(true, leader.propose(command(1)).isLeft())
    }

    private class CloseTrackingStorage(private val inner: MemoryConsensusStorage = MemoryConsensusStorage()) :
        ConsensusStorage by inner {
        @Volatile
        var isClosed = false

        override fun close() {
            isClosed = true
        }
    }

    private fun ReplicaGroup<Long>.name(groups: List<ReplicaGroup<Long>>) = names[groups.indexOf(this)]

    private fun TestScope.startReplica(
        host: String,
        storage: ConsensusStorage,
        foundingVoters: List<String>?,
        stateHosts: ReplicaGroupFixture = fixture,
        lost: LostVoter? = null,
    ): ReplicaGroup<Long> {
        val options = ReplicaGroupOptions(snapshotEntries = 20, lostVoter = lost)
        return stateHosts.startReplica(this, host, storage, foundingVoters, options)
    }

    private suspend fun awaitLeader(groups: List<ReplicaGroup<Long>>) = fixture.awaitLeader(groups)

    private fun command(number: Long) = fixture.command(number)
}
