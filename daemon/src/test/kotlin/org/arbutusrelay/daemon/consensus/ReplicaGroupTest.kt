package org.arbutusrelay.daemon.consensus

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.arbutusrelay.core.consensus.LostVoter
import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.core.error.Outcome
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.daemon.storage.ConsensusStorage
import org.arbutusrelay.daemon.storage.MemoryConsensusStorage
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

@OptIn(ExperimentalCoroutinesApi::class)
class ReplicaGroupTest {
    private val names = listOf("a", "b", "c")
    private val networks = HashMap<String, FakeNetwork>()
    private val machines = HashMap<String, SumMachine>()

    /** Guards against proposals that are lost, applied twice or answered with another one's result. */
    @Test
    fun `concurrent proposals are applied once on every replica and share syncs`() = runTest {
        val storages = names.associateWith { MemoryConsensusStorage() }
        val groups = names.map { start(it, storages.getValue(it), names) }
        val leader = awaitLeader(groups)
        val results = (1L..200L).map { async { leader.propose(command(it)).getOrNull() } }.awaitAll()
        assertEquals(200, results.filterNotNull().toSet().size)
        delay(500)
        assertEquals(setOf(200L * 201 / 2), machines.values.map { it.sum }.toSet())
        assertTrue(storages.values.all { it.logSyncs < 100 }, "syncs: ${storages.values.map { it.logSyncs }}")
        val follower = groups.first { it !== leader }
        assertEquals(Outcome.NOT_RUN, follower.propose(command(1)).leftOrNull()?.kind?.outcome)
        groups.forEach { it.stop() }
    }

    /** Guards against a planned stop that leaves the group without a leader for an election timeout. */
    @Test
    fun `a stopping leader hands over and the others go on`() = runTest {
        val groups = names.map { start(it, MemoryConsensusStorage(), names) }
        val old = awaitLeader(groups)
        old.stop()
        val others = groups - old
        val started = testScheduler.currentTime
        val new = awaitLeader(others)
        assertTrue(testScheduler.currentTime - started < 1_000, "no transfer took place")
        assertNotNull(new.propose(command(7)).getOrNull())
        others.forEach { it.stop() }
    }

    /** Guards against a replica that lost its disk and stays outside, or counts before it has caught up. */
    @Test
    fun `a replica with a lost disk is added again under a new identity`() = runTest {
        val groups = names.map { start(it, MemoryConsensusStorage(), names) }
        val leader = awaitLeader(groups)
        (1L..50L).forEach { leader.propose(command(it)) }
        val lost = groups.first { it !== leader }
        lost.stop()
        val joined = start(lost.name(groups), MemoryConsensusStorage(), founding = null)
        delay(10_000)
        val host = lost.name(groups)
        assertEquals(3, leader.voters.size, "${leader.voters}")
        assertTrue(leader.voters.any { it.startsWith("$host#") } && host !in leader.voters, "${leader.voters}")
        assertEquals(50L * 51 / 2, machines.getValue(host).sum)
        assertEquals(null, joined.failure)
        (groups - lost + joined).forEach { it.stop() }
    }

    /** Guards against a group of two that stays stopped after a disk loss, and against a statement applied twice. */
    @Test
    fun `a lost voter of two is removed once and its host is added again`() = runTest {
        val two = listOf("a", "b")
        val storage = MemoryConsensusStorage()
        val first = listOf(start("a", storage, two, two), start("b", MemoryConsensusStorage(), two, two))
        val leader = awaitLeader(first)
        (1L..50L).forEach { leader.propose(command(it)) }
        first.reversed().forEach { it.stop() }
        val lost = LostVoter("b", first[0].term)
        val survivor = start("a", storage, null, two, lost)
        val replacement = start("b", MemoryConsensusStorage(), null, two)
        delay(8_000)
        assertEquals(0, survivor.removedLostVoters)
        delay(12_000)
        assertEquals(1, survivor.removedLostVoters)
        assertEquals(listOf("a", "b#"), survivor.voters.map { it.take(2) })
        assertNotNull(survivor.propose(command(51)).getOrNull())
        assertEquals(51L * 52 / 2, machines.getValue("a").sum)
        survivor.stop()
        val again = start("a", storage, null, two, lost)
        delay(20_000)
        assertEquals(listOf(0L, 1L), listOf(again.removedLostVoters, again.refusedLostVoters))
        assertEquals(2, again.voters.size)
        listOf(again, replacement).forEach { it.stop() }
    }

    /** Guards against proposals that wait forever after the state machine failed. */
    @Test
    fun `a failing state machine stops the replica and ends proposals as unknown`() = runTest {
        val group = start("a", MemoryConsensusStorage(), listOf("a"))
        val leader = awaitLeader(listOf(group))
        machines.getValue("a").isBroken = true
        assertEquals(Outcome.UNKNOWN, leader.propose(command(1)).leftOrNull()?.kind?.outcome)
        assertNotNull(group.failure)
        assertEquals(false, group.isLeaseHeld())
        group.stop()
    }

    /** Guards against a replica that runs on in a closed daemon beside its successor on the same folder. */
    @Test
    fun `closing ends the replica and its storage at once`() = runBlocking {
        val storage = ClosableStorage()
        networks["a"] = FakeNetwork("a", networks)
        val group = ReplicaGroup(
            name = "manifest",
            storage = storage,
            stateMachine = SumMachine(),
            network = networks.getValue("a"),
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

    private class ClosableStorage(private val inner: MemoryConsensusStorage = MemoryConsensusStorage()) :
        ConsensusStorage by inner {
        @Volatile
        var isClosed = false

        override fun close() {
            isClosed = true
        }
    }

    private fun ReplicaGroup<Long>.name(groups: List<ReplicaGroup<Long>>) = names[groups.indexOf(this)]

    private fun TestScope.start(
        host: String,
        storage: ConsensusStorage,
        founding: List<String>?,
        stateHosts: List<String> = names,
        lost: LostVoter? = null,
    ): ReplicaGroup<Long> {
        val dispatcher = StandardTestDispatcher(testScheduler)
        networks[host] = FakeNetwork(host, networks)
        machines[host] = SumMachine()
        val group = ReplicaGroup(
            name = "manifest",
            storage = storage,
            stateMachine = machines.getValue(host),
            network = networks.getValue(host),
            stateHosts = { stateHosts.toSet() },
            random = Random(host.hashCode()),
            foundingVoters = founding,
            timeSource = testScheduler.timeSource,
            options = ReplicaGroupOptions(snapshotEntries = 20, lostVoter = lost),
            decisionDispatcher = dispatcher,
            syncDispatcher = dispatcher,
            configure = { it.copy(trailingEntries = 5) },
        )
        assertEquals(null, group.start().leftOrNull())
        return group
    }

    private suspend fun awaitLeader(groups: List<ReplicaGroup<Long>>): ReplicaGroup<Long> {
        repeat(1_000) {
            groups.firstOrNull { it.isLeaseHeld() }?.let { return it }
            delay(10)
        }
        error("no leader in 10 s: ${groups.map { it.term to it.failure }}")
    }

    private fun command(number: Long) = ReplicatedCommand(manifest = ManifestRecord(number, "", ""))

    private class SumMachine : StateMachine<Long> {
        var sum = 0L
        var isBroken = false

        override fun apply(index: Long, command: ReplicatedCommand): Long {
            require(!isBroken) { "broken" }
            sum += command.manifest?.number ?: 0
            return sum
        }

        override fun snapshot() = sum.toString().toByteArray()

        override fun restore(snapshot: ByteArray) {
            sum = snapshot.decodeToString().toLong()
        }
    }

    private class FakeNetwork(host: String, private val all: Map<String, FakeNetwork>) : LinkNetwork {
        override val self = HostIdentity(host, "hue", "hue-1", 1)
        private val receivers = ArrayList<FrameReceiver>()

        override fun send(hostName: String, frame: LinkFrame): Boolean {
            val target = all[hostName] ?: return false
            target.receivers.forEach { it.onFrame(self, frame) }
            return true
        }

        override fun connected() = all.mapValues { it.value.self }

        override fun connect(hostName: String, address: String) = Unit

        override fun addReceiver(receiver: FrameReceiver) {
            receivers += receiver
        }
    }
}
