package org.arbutusrelay.core.consensus

import org.arbutusrelay.schema.message.ConsensusMessage
import org.arbutusrelay.schema.message.ManifestRecord
import org.arbutusrelay.schema.message.ReplicatedCommand
import org.arbutusrelay.schema.message.VoterChange
import java.util.EnumMap
import java.util.PriorityQueue
import kotlin.random.Random

/** Simulates 3 to 5 replicas in virtual time under random faults; deterministic for a [seed]. */
class ConsensusSimulation(
    val seed: Long,
    private val defect: Defect = Defect(),
    private val faultPeriodMs: Long = 60_000,
) {
    private val random = Random(seed)
    private val oracle = SafetyOracle()
    private val names = List(random.nextInt(3, 6)) { "n$it" }
    private val hosts = names.map { SimulatedHost(it, names, random, oracle) }
    private val queue = PriorityQueue<ScheduledAction>(compareBy({ it.atMs }, { it.sequence }))
    private val blocked = HashSet<Pair<String, String>>()
    private val trace = ArrayDeque<String>()
    private val lastDeliveryMs = HashMap<Pair<String, String>, Long>()
    private var nowMs = 0L
    private var sequence = 0L
    private var commandNumber = 0L
    private var isFaulty = true
    private var partitionNumber = 0
    private var slowSyncUntilMs = 0L
    private var isRepairing = false
    var steps = 0L
        private set
    val counts = EnumMap<Fault, Int>(Fault::class.java)

    /** Runs with faults and then without; a failed check throws an error with the seed and the trace. */
    fun run() {
        try {
            hosts.forEach(::start)
            every(50) { propose() }
            every(300) { takeSnapshot() }
            every(200) { repair() }
            every(700) { if (isFaulty) injectFault() }
            runUntil(faultPeriodMs)
            heal()
            runUntil(faultPeriodMs + RECOVERY_MS)
            checkRecovered()
            counts.merge(Fault.LEADER_CHANGE, oracle.leaderChanges, Int::plus)
        } catch (e: IllegalStateException) {
            throw AssertionError("seed $seed at $nowMs ms: ${e.message}\n" + trace.joinToString("\n"), e)
        }
    }

    private fun runUntil(endMs: Long) {
        while (queue.isNotEmpty() && queue.peek().atMs <= endMs) {
            val next = queue.poll()
            nowMs = next.atMs
            next.action()
        }
        nowMs = endMs
    }

    private fun schedule(delayMs: Long, action: () -> Unit) {
        queue += ScheduledAction(nowMs + delayMs, sequence++, action)
    }

    private fun every(periodMs: Long, action: () -> Unit) {
        schedule(periodMs) {
            action()
            every(periodMs, action)
        }
    }

    private fun start(host: SimulatedHost) {
        if (host.node != null) return
        host.start(nowMs)
        log("${host.identity} started")
        tick(host, host.incarnation)
    }

    private fun tick(host: SimulatedHost, incarnation: Int) {
        if (host.node == null || host.incarnation != incarnation) return
        step(host, ConsensusEvent.Tick)
        schedule(20) { tick(host, incarnation) }
    }

    private fun step(host: SimulatedHost, event: ConsensusEvent) {
        val node = host.node ?: return
        val wasLeader = node.role == ConsensusRole.LEADER
        steps++
        if (event !is ConsensusEvent.Tick) log("${host.identity} <- $event")
        val effects = node.step(event, host.clockMs(nowMs))
        if (!wasLeader && node.role == ConsensusRole.LEADER) oracle.onLeader(node)
        for (effect in effects) perform(host, effect)
        val leaseHolders = hosts.filter { it.node?.isLeaseHeld(it.clockMs(nowMs)) ?: false }
        check(leaseHolders.size <= 1) { "leases overlap: ${leaseHolders.map { it.identity }}" }
        if (steps % 50 == 0L) oracle.checkLogs(hosts.mapNotNull { it.node })
    }

    private fun perform(host: SimulatedHost, effect: ConsensusEffect) {
        when (effect) {
            is ConsensusEffect.Persist -> persist(host, defect.write(effect))

            is ConsensusEffect.Send -> send(defect.send(effect.message))

            is ConsensusEffect.Apply -> host.apply(effect.entries)

            is ConsensusEffect.Restore -> {
                count(Fault.SNAPSHOT_INSTALLED)
                host.restore(effect.snapshot)
            }

            is ConsensusEffect.RoleChange -> log("${host.identity} is $effect")

            is ConsensusEffect.Proposed, is ConsensusEffect.Recovered -> Unit
        }
    }

    private fun persist(host: SimulatedHost, persist: ConsensusEffect.Persist) {
        host.write(persist)
        val incarnation = host.incarnation
        val isSlow = nowMs < slowSyncUntilMs
        if (isSlow) count(Fault.SLOW_SYNC)
        schedule(if (isSlow) random.nextLong(50, 600) else random.nextLong(1, 8)) {
            if (host.incarnation == incarnation && host.node != null) {
                host.sync(persist.id)
                if (!defect.isSyncSkipped) step(host, ConsensusEvent.Persisted(persist.id))
            }
        }
        if (defect.isSyncSkipped) {
            schedule(0) { if (host.incarnation == incarnation) step(host, ConsensusEvent.Persisted(persist.id)) }
        }
    }

    private fun send(message: ConsensusMessage) {
        val pair = hostOf(message.from) to hostOf(message.to)
        if (pair in blocked) return
        if (isFaulty && random.nextInt(100) < 3) return count(Fault.LOSS)
        deliver(pair, message)
        if (isFaulty && random.nextInt(100) < 3) {
            count(Fault.DUPLICATION)
            deliver(pair, message)
        }
    }

    private fun deliver(pair: Pair<String, String>, message: ConsensusMessage) {
        val isDelayed = isFaulty && random.nextInt(100) < 2
        if (isDelayed) count(Fault.DELAY)
        val delayMs = if (isDelayed) random.nextLong(100, 4_000) else random.nextLong(1, 12)
        if (nowMs + delayMs < (lastDeliveryMs[pair] ?: 0)) count(Fault.REORDER)
        lastDeliveryMs.merge(pair, nowMs + delayMs, ::maxOf)
        schedule(delayMs) {
            val host = hosts.first { it.name == pair.second }
            if (pair !in blocked && host.identity == message.to) step(host, ConsensusEvent.Receive(message))
        }
    }

    private fun propose() {
        // Without new entries, the log of a partitioned host stays up to date and the host electable, so that only the
        // lease protects the leader.
        if (isFaulty && nowMs / IDLE_PERIOD_MS % 2 == 1L) return
        val host = hosts.filter { it.node?.role == ConsensusRole.LEADER }.randomOrNull(random) ?: return
        val commands = List(random.nextInt(1, 4)) {
            ReplicatedCommand(manifest = ManifestRecord(++commandNumber, "", ""))
        }
        step(host, ConsensusEvent.Propose(commands))
    }

    private fun takeSnapshot() {
        val host = hosts.random(random)
        if (host.node != null) step(host, host.snapshot())
    }

    /** Repairs the voter set at the leader like the daemon: adds learners, then replaces lost voters with them. */
    private fun repair() {
        val host = leaseHolder() ?: return
        val node = host.node ?: return
        val identities = hosts.map { it.identity }
        step(host, ConsensusEvent.SetLearners((identities - node.voters.toSet()).toSet()))
        val lost = node.voters.firstOrNull { it !in identities }
        val missing = identities.firstOrNull { it !in node.voters }
        val target = when {
            lost != null -> node.voters - lost
            missing != null -> node.voters + missing
            else -> return onVotersComplete(host)
        }
        val lastIndex = node.lastIndex
        step(host, ConsensusEvent.Propose(listOf(ReplicatedCommand(voterChange = VoterChange(target)))))
        if (node.lastIndex > lastIndex) count(if (lost != null) Fault.VOTER_REMOVED else Fault.VOTER_ADDED)
    }

    private fun onVotersComplete(leader: SimulatedHost) {
        if (!isRepairing || !hasCommittedVoters(leader)) return
        isRepairing = false
        if (!isFaulty) return
        count(Fault.CRASH_AFTER_REPAIR)
        crash(leader)
    }

    private fun hasCommittedVoters(leader: SimulatedHost): Boolean {
        val node = leader.node ?: return false
        val identities = hosts.map { it.identity }.toSet()
        // The leader knows that its voter set is committed when all entries including its no-op are committed.
        return node.voters.toSet() == identities && node.commitIndex == node.lastIndex
    }

    private fun injectFault() {
        when (random.nextInt(8)) {
            0 -> crash(hosts.random(random))

            1 -> crashTwo()

            2 -> partition(isTwoWay = true)

            3 -> partition(isTwoWay = false)

            4 -> blocked.clear()

            5 -> loseDisk()

            6 -> slowSyncUntilMs = nowMs + random.nextLong(200, 2_000)

            7 -> leaseHolder()?.let {
                count(Fault.LEADERSHIP_TRANSFER)
                step(it, ConsensusEvent.TransferLeadership())
            }
        }
    }

    private fun crash(host: SimulatedHost) {
        if (host.node == null) return
        log("${host.identity} crashed")
        count(Fault.CRASH)
        if (host.crash()) count(Fault.UNSYNCED_WRITES_LOST)
        schedule(random.nextLong(1, 3_000)) { start(host) }
    }

    private fun crashTwo() {
        val running = hosts.filter { it.node != null }.shuffled(random).take(2)
        if (running.size == 2) count(Fault.TWO_CRASHES_TOGETHER)
        running.forEach(::crash)
    }

    private fun partition(isTwoWay: Boolean) {
        count(if (isTwoWay) Fault.TWO_WAY_PARTITION else Fault.ONE_WAY_PARTITION)
        blocked.clear()
        // In a partial partition some hosts reach both sides; the leader lease must remain exclusive.
        val isPartial = random.nextBoolean()
        if (isPartial) count(Fault.PARTIAL_PARTITION)
        val group = names.shuffled(random).take(random.nextInt(1, names.size))
        for (inside in group) {
            for (outside in names - group.toSet()) {
                if (isPartial && random.nextBoolean()) continue
                blocked += inside to outside
                if (isTwoWay) blocked += outside to inside
            }
        }
        log("partition $blocked")
        val number = ++partitionNumber
        schedule(random.nextLong(200, 6_000)) { if (number == partitionNumber) blocked.clear() }
    }

    /** Loses a disk only when no lost replica is still a voter; further losses could lose committed entries. */
    private fun loseDisk() {
        val leader = leaseHolder() ?: return
        if (isRepairing || !hasCommittedVoters(leader)) return
        val host = hosts.random(random)
        isRepairing = true
        count(Fault.DISK_LOST)
        crash(host)
        host.loseDisk(defect.isIdentityReused)
        log("${host.name} lost its disk and restarts as ${host.identity}")
    }

    private fun heal() {
        isFaulty = false
        blocked.clear()
        slowSyncUntilMs = 0
        hosts.forEach(::start)
    }

    private fun checkRecovered() {
        val leader = checkNotNull(leaseHolder()) { "no leader after the fault period" }
        val node = checkNotNull(leader.node)
        check(hasCommittedVoters(leader) || node.voters.size == hosts.size) { "unexpected voters ${node.voters}" }
        for (host in hosts) {
            val lag = oracle.committedCount - (host.node?.commitIndex ?: 0)
            check(lag < 50) { "${host.identity} lags $lag entries behind" }
        }
        check(oracle.committedCount > 100) { "only ${oracle.committedCount} entries committed" }
    }

    private fun leaseHolder() = hosts.firstOrNull { it.node?.isLeaseHeld(it.clockMs(nowMs)) ?: false }

    private fun hostOf(identity: String) = identity.substringBefore('#')

    private fun count(fault: Fault) {
        counts.merge(fault, 1, Int::plus)
    }

    private fun log(line: String) {
        trace += "$nowMs $line"
        if (trace.size > TRACE_LINES) trace.removeFirst()
    }

    private class ScheduledAction(val atMs: Long, val sequence: Long, val action: () -> Unit)

    private companion object {
        const val TRACE_LINES = 200
        const val IDLE_PERIOD_MS = 6_000L
        const val RECOVERY_MS = 20_000L
    }
}
