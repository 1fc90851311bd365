package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerImport
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A region ledger over a fake replicated log whose leader crashes and is replaced. */
internal class FakeLedgerGroup(
    private val region: String,
    private val time: VirtualTime,
    private val limits: LedgerLimits,
    private val faults: LedgerFaults,
) {
    var machine = LedgerStateMachine(limits)
        private set
    val homes = HashMap<String, CallerHome>()
    val releaseAcknowledged = HashSet<Attempt>()
    var hasFailures = true
    private val rules = LedgerRules(region, limits)
    private val clock = LedgerClock()
    private val pending = ArrayDeque<Pair<LedgerCommand, (LedgerDecision?) -> Unit>>()
    private val log = ArrayList<ReplicatedCommand>()
    private var applier: StateMachine<LedgerDecision> = faults.machine(machine, log)
    private var term = 1L
    var hasLeader = true
        private set
    private var clockOffsetMs = time.random.nextLong(1_000_000)
    private var snapshot: Pair<Int, ByteArray> = 0 to machine.snapshot()
    private var lastExpiryMs = 0L

    private val atMs: Long get() = clock.atMs(term, machine.state, time.nowMs + clockOffsetMs)

    fun request(request: LedgerRequest, onReply: (LedgerReply) -> Unit) {
        val reply = { decided: LedgerReply ->
            if (request.grant != null) time.count("grant decided ${decided.decision}")
            onReply(decided)
        }
        if (!hasLeader) return reply(LedgerReply(request.correlation, Decision.NO_LEADER))
        val caller = listOfNotNull(request.grant?.key, request.release?.key, request.finish?.key).firstOrNull()?.caller
        crashPoint("ledger crash on arrival")
        if (!hasLeader) return
        val action = rules.decide(machine.state, faults.request(request), homes[caller], atMs)
        val proposed = faults.action(action, request, machine.state)
        when (proposed) {
            is LedgerAction.Answer -> reply(proposed.decision.toReply(request.correlation))
            is LedgerAction.Propose -> propose(proposed.command) { it?.let { reply(it.toReply(request.correlation)) } }
        }
    }

    fun isOpen(caller: String): Boolean = rules.isOpenHere(machine.state, caller, homes.getValue(caller))

    fun propose(command: LedgerCommand, onResult: (LedgerDecision?) -> Unit = {}) {
        if (!hasLeader) return
        pending.addLast(command to onResult)
        crashPoint("ledger crash before commit")
        val proposedIn = term
        time.after(time.random.nextLong(1, 25)) { if (proposedIn == term && hasLeader) commitNext() }
    }

    fun onReplaced(hostName: String, oldEpoch: Long) {
        if (hasLeader) rules.settleReplaced(machine.state, hostName, oldEpoch, atMs).forEach { propose(it) }
    }

    fun tick(former: (String) -> FakeLedgerGroup) {
        if (!hasLeader) return
        crashPoint("ledger crash at rest")
        if (!hasLeader) return
        rules.settleOverdue(machine.state, atMs).forEach {
            time.count("grant settled after its deadline")
            propose(it)
        }
        rules.dueExpiry(lastExpiryMs, atMs)?.let {
            lastExpiryMs = it.atMs
            propose(it)
        }
        homes.forEach { (caller, home) -> rules.dueFence(machine.state, caller, home, atMs)?.let { propose(it) } }
        machine.state.fences.values.filter { it.isFenced }.forEach { fence ->
            fence.importFrom?.let { importFrom(former(it), fence.caller, fence.manifestNumber) }
        }
        if (time.happens(20)) snapshot = log.size to machine.snapshot()
    }

    private fun importFrom(former: FakeLedgerGroup, caller: String, number: Long) {
        time.deliver {
            val entries = former.export(caller, number) ?: return@deliver
            time.deliver {
                if (hasLeader) import(caller, number, entries)
            }
        }
    }

    private fun import(caller: String, number: Long, entries: List<LedgerEntry>) {
        time.count("hand-over import")
        val batches = entries.chunked(2).ifEmpty { listOf(emptyList()) }
        batches.forEachIndexed { i, batch ->
            val isLast = i == batches.lastIndex
            propose(LedgerCommand(atMs, imported = LedgerImport(caller, number, batch, isLast)))
        }
    }

    private fun export(caller: String, number: Long): List<LedgerEntry>? =
        if (hasLeader) rules.export(machine.state, caller, number) else null

    private fun commitNext() {
        val (command, onResult) = pending.removeFirstOrNull() ?: return
        val decision = apply(command)
        crashPoint("ledger crash before reply")
        if (hasLeader) onResult(decision)
    }

    private fun apply(command: LedgerCommand): LedgerDecision {
        val replicated = ReplicatedCommand(ledger = command)
        log += replicated
        val decision = applier.apply(log.size.toLong(), replicated)
        time.log("$region ${describe(command)} -> ${decision.decision}")
        if (decision.decision == Decision.GRANTED) {
            assertTrue(command.grant?.attempt !in releaseAcknowledged, "${command.grant} was granted after its release")
        }
        return decision
    }

    /** A prefix of the pending proposals survives a crash; none of them is answered. */
    private fun crashPoint(kind: String) {
        if (!hasFailures || time.random.nextInt(400) != 0) return
        time.count(kind)
        time.log("$region $kind")
        hasLeader = false
        repeat(time.random.nextInt(pending.size + 1)) { apply(pending.removeFirst().first) }
        pending.clear()
        time.after(time.random.nextLong(1_000, 3_000), ::elect)
    }

    private fun elect() {
        term++
        clockOffsetMs = time.random.nextLong(1_000_000)
        val replica = LedgerStateMachine(limits).apply { restore(snapshot.second) }
        val replay = faults.machine(replica, log)
        log.drop(snapshot.first).forEachIndexed { i, command -> replay.apply(snapshot.first + i + 1L, command) }
        assertEquals(machine.state.entries.keys, replica.state.entries.keys, "replicas differ")
        assertEquals(machine.state.tombstones, replica.state.tombstones, "replicas differ")
        assertEquals(machine.state.timeMs, replica.state.timeMs, "replicas differ")
        machine = replica
        applier = replay
        hasLeader = true
    }

    private fun describe(command: LedgerCommand): String = command.grant?.let { "grant ${it.key} ${it.attempt}" }
        ?: command.finish?.let { "finish ${it.key} ${it.attempt}" }
        ?: command.release?.let { "release ${it.key} ${it.attempt}" }
        ?: command.settle?.let { "settle ${it.key} ${it.attempt}" }
        ?: command.fence?.toString()
        ?: command.imported?.let { "import ${it.caller} ${it.manifestNumber} ${it.entries.size} ${it.isLast}" }
        ?: command.expire.toString()
}
