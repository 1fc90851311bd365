package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoterChange
import java.util.EnumMap
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against loss of committed entries and against two leaders when a lost voter of two is removed. */
class LostMajorityTest {
    @Test
    fun `no committed entry is lost when a voter with a lost disk is replaced`() = runSeeds(isDiskLost = true)

    /** The operator removes a voter that is only partitioned; it returns with its disk. */
    @Test
    fun `no committed entry is lost when the removed voter returns with its disk`() = runSeeds(isDiskLost = false)

    @Test
    fun `a removal that does not match the state of the surviving voter is refused`() {
        val twoVoters = DurableState.founding(listOf("n0", "n1"))
        val threeVoters = DurableState.founding(listOf("n0", "n1", "n2"))
        val cases = listOf(
            Triple(twoVoters, LostVoter("n1", 0), 10_000L) to null,
            Triple(twoVoters, LostVoter("n1", 0), 9_999L) to RecoveryRefusal.STILL_HEARD,
            Triple(twoVoters, LostVoter("n1", 1), 10_000L) to RecoveryRefusal.OTHER_TERM,
            Triple(twoVoters, LostVoter("n2", 0), 10_000L) to RecoveryRefusal.OTHER_VOTERS,
            Triple(threeVoters, LostVoter("n1", 0), 10_000L) to RecoveryRefusal.OTHER_VOTERS,
        )
        for ((case, expected) in cases) {
            val (state, lost, nowMs) = case
            val node = ConsensusNode(ConsensusConfig("g", "n0"), state, Random(1), 0)
            assertEquals(expected, node.remove(lost, nowMs), "$case")
            if (expected == null) assertEquals(RecoveryRefusal.OTHER_TERM, node.remove(lost, nowMs), "applied twice")
        }
    }

    @Test
    fun `a removal is refused while the voter set may be uncommitted`() {
        val change = ReplicatedCommand(voterChange = VoterChange(listOf("n0", "n1")))
        val entry = LogEntry(1, 0, change)
        val state = DurableState.founding(listOf("n1")).copy(entries = listOf(entry))
        val node = ConsensusNode(ConsensusConfig("g", "n0"), state, Random(1), 0)
        assertEquals(RecoveryRefusal.VOTERS_NOT_COMMITTED, node.remove(LostVoter("n1", 0), 10_000))
    }

    private fun runSeeds(isDiskLost: Boolean) {
        val counts = EnumMap<RecoveryRefusal, Int>(RecoveryRefusal::class.java)
        var committed = 0
        for (seed in 1L..MAX_SEED) {
            val run = TwoVoterSimulation(seed, isDiskLost)
            try {
                run.run()
            } catch (e: IllegalStateException) {
                throw AssertionError("seed $seed at ${run.nowMs} ms: ${e.message}", e)
            }
            run.refusals.forEach { counts.merge(it, 1, Int::plus) }
            committed += run.oracle.committedCount
        }
        println("lost majority, disk lost $isDiskLost, seeds 1..$MAX_SEED: $committed committed, refusals $counts")
        assertTrue(RecoveryRefusal.STILL_HEARD in counts && RecoveryRefusal.OTHER_TERM in counts, "$counts")
    }

    private fun ConsensusNode.remove(lost: LostVoter, nowMs: Long): RecoveryRefusal? =
        step(ConsensusEvent.RemoveLostVoter(lost), nowMs).filterIsInstance<ConsensusEffect.Recovered>().single().refusal

    /** Runs two voters under loss, delay and crashes; then one is lost, removed by the survivor and added again. */
    private inner class TwoVoterSimulation(seed: Long, private val isDiskLost: Boolean) {
        private val random = Random(seed)
        val oracle = SafetyOracle()
        val refusals = ArrayList<RecoveryRefusal>()
        private val hosts = List(2) { SimulatedHost("n$it", listOf("n0", "n1"), random, oracle) }
        private val queue = PriorityQueue<ScheduledAction>(compareBy({ it.atMs }, { it.sequence }))
        private var sequence = 0L
        private var isPartitioned = false
        private var isFaulty = true
        var nowMs = 0L
            private set

        fun run() {
            hosts.forEach(::start)
            every(40) { propose() }
            every(400) { if (isFaulty && random.nextInt(4) == 0) crash(hosts.random(random)) }
            every(500) {
                if (random.nextInt(4) == 0) {
                    hosts.random(random).let { it.node?.run { step(it, it.snapshot()) } }
                }
            }
            every(900) { requestRemoval(hosts[0], hosts[1].identity) }
            runFor(random.nextLong(3_000, 12_000))
            loseVoter(hosts[0], hosts[1])
            val before = oracle.committedCount
            reconnect(hosts[0], hosts[1])
            check(oracle.committedCount > before + 20) { "the group commits no further entries" }
        }

        /** Requests a removal while both voters run; it must be refused for any term. */
        private fun requestRemoval(survivor: SimulatedHost, lost: String) {
            val node = survivor.node ?: return
            if (isPartitioned || !isFaulty) return
            val term = node.term - random.nextInt(2)
            step(survivor, ConsensusEvent.RemoveLostVoter(LostVoter(lost, term)))
        }

        private fun loseVoter(survivor: SimulatedHost, lost: SimulatedHost) {
            isPartitioned = true
            isFaulty = false
            if (isDiskLost) lost.crash().also { lost.loseDisk(isIdentityReused = false) }
            start(survivor)
            runFor(15_000)
            val node = checkNotNull(survivor.node)
            val lostVoter = LostVoter("n1", node.term)
            val before = refusals.size
            step(survivor, ConsensusEvent.RemoveLostVoter(lostVoter))
            check(refusals.size == before) { "the removal was refused: $refusals" }
            step(survivor, ConsensusEvent.RemoveLostVoter(lostVoter))
            check(refusals.drop(before) == listOf(RecoveryRefusal.OTHER_TERM)) { "applied twice: $refusals" }
        }

        private fun reconnect(survivor: SimulatedHost, lost: SimulatedHost) {
            runFor(6_000)
            check(survivor.node?.isLeaseHeld(survivor.clockMs(nowMs)) == true) { "the survivor is not the leader" }
            isPartitioned = false
            start(lost)
            runFor(5_000)
            check(lost.node?.role != ConsensusRole.LEADER) { "the removed voter is a leader" }
            if (!isDiskLost) return
            step(survivor, ConsensusEvent.SetLearners(setOf(lost.identity)))
            runFor(3_000)
            val voters = ReplicatedCommand(voterChange = VoterChange(listOf(survivor.identity, lost.identity)))
            step(survivor, ConsensusEvent.Propose(listOf(voters)))
            runFor(3_000)
            check(lost.node?.voters == listOf(survivor.identity, lost.identity)) { "the new replica is not a voter" }
            checkNotNull(lost.node).let {
                check(it.commitIndex > oracle.committedCount - 50) { "the new replica lags behind" }
            }
        }

        private fun step(host: SimulatedHost, event: ConsensusEvent) {
            val node = host.node ?: return
            val wasLeader = node.role == ConsensusRole.LEADER
            val effects = node.step(event, host.clockMs(nowMs))
            if (!wasLeader && node.role == ConsensusRole.LEADER) oracle.onLeader(node)
            effects.forEach { perform(host, it) }
            val leaseHolders = hosts.count { it.node?.isLeaseHeld(it.clockMs(nowMs)) ?: false }
            check(leaseHolders <= 1) { "leases overlap" }
        }

        private fun perform(host: SimulatedHost, effect: ConsensusEffect) {
            when (effect) {
                is ConsensusEffect.Persist -> {
                    host.write(effect)
                    val incarnation = host.incarnation
                    after(random.nextLong(1, 30)) {
                        if (host.node != null && host.incarnation == incarnation) {
                            host.sync(effect.id)
                            step(host, ConsensusEvent.Persisted(effect.id))
                        }
                    }
                }

                is ConsensusEffect.Send -> send(host, effect)

                is ConsensusEffect.Apply -> host.apply(effect.entries)

                is ConsensusEffect.Restore -> host.restore(effect.snapshot)

                is ConsensusEffect.Recovered -> {
                    check(effect.refusal != null || isPartitioned) { "a reachable voter was removed" }
                    effect.refusal?.let(refusals::add)
                }

                else -> Unit
            }
        }

        private fun send(from: SimulatedHost, effect: ConsensusEffect.Send) {
            if (isPartitioned || (isFaulty && random.nextInt(10) == 0)) return
            after(random.nextLong(1, if (isFaulty && random.nextInt(20) == 0) 1_500 else 20)) {
                val to = hosts.find { it.identity == effect.message.to && it !== from }
                if (!isPartitioned && to != null) step(to, ConsensusEvent.Receive(effect.message))
            }
        }

        private fun propose() = hosts.forEach {
            if (it.node?.role == ConsensusRole.LEADER) step(it, ConsensusEvent.Propose(listOf(ReplicatedCommand())))
        }

        private fun crash(host: SimulatedHost) {
            if (host.node == null) return
            host.crash()
            after(random.nextLong(50, 2_000)) { if (isFaulty) start(host) }
        }

        private fun start(host: SimulatedHost) {
            if (host.node != null) return
            host.start(nowMs)
            val incarnation = host.incarnation
            every(20) { if (host.incarnation == incarnation) step(host, ConsensusEvent.Tick) }
        }

        private fun runFor(durationMs: Long) {
            val endMs = nowMs + durationMs
            while (queue.peek()?.let { it.atMs <= endMs } == true) {
                val next = queue.poll()
                nowMs = next.atMs
                next.action()
            }
            nowMs = endMs
        }

        private fun after(delayMs: Long, action: () -> Unit) {
            queue += ScheduledAction(nowMs + delayMs, sequence++, action)
        }

        private fun every(periodMs: Long, action: () -> Unit): Unit = after(periodMs) {
            action()
            every(periodMs, action)
        }
    }

    private class ScheduledAction(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        const val MAX_SEED = 100L
    }
}
