package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerImport
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.ReplicatedCommand
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Region ledger on an in-memory log whose leader crashes at random and is replaced by a restored replica. */
internal class FakeLedgerGroup(
    private val region: String,
    private val time: VirtualTime,
    private val limits: LedgerLimits,
    private val faults: LedgerFaults,
    private val groupOf: (String) -> FakeLedgerGroup,
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
        val reply = { ledgerReply: LedgerReply ->
            if (request.grant != null) time.count("grant decided ${ledgerReply.decision}")
            onReply(ledgerReply)
        }
        if (!hasLeader) return reply(LedgerReply(request.correlation, Decision.NO_LEADER))
        crashPoint("ledger crash on request")
        if (!hasLeader) return
        val key = request.grant?.key ?: request.entryKey ?: return
        val afterMove = request.afterMove
        if (afterMove != null && !rules.hasImported(machine.state, key.caller, afterMove)) {
            return reply(LedgerReply(request.correlation, Decision.NO_LEADER))
        }
        val service = machine.state.entries[key]?.service
        assertTrue(
            afterMove == null || request.finish == null || isAllowed(key.service, region),
            "$key was sent to a region that its service excludes",
        )
        decide(faults.request(request)) { decision ->
            val home = homes[key.caller]
            val move = request.entryKey?.let {
                rules.moveToFollow(machine.state, it.caller, home, service, ::isAllowed)
            }
            if (decision != null) {
                reply(decision.toReply(request.correlation).copy(movedTo = move?.to, movedBy = move?.number))
            }
        }
    }

    private fun decide(request: LedgerRequest, onDecision: (LedgerDecision?) -> Unit) {
        val caller = (request.grant?.key ?: request.entryKey)?.caller
        val action = faults.action(rules.decide(machine.state, request, homes[caller], atMs), request, machine.state)
        when (action) {
            is LedgerAction.Answer -> onDecision(action.decision)

            is LedgerAction.Propose -> propose(action.command, onDecision)

            is LedgerAction.QueryFormerHomes -> request.grant?.let {
                queryFormerHomes(it, action, action.regions, onDecision)
            }
        }
    }

    private fun queryFormerHomes(
        grant: LedgerGrant,
        query: LedgerAction.QueryFormerHomes,
        regions: List<String>,
        onDecision: (LedgerDecision?) -> Unit,
    ) {
        if (!hasLeader) return
        val next = regions.firstOrNull()
            ?: return decide(LedgerRequest(0, region, grant = grant.copy(absentFor = query.manifestNumber)), onDecision)
        time.deliver {
            val formerGroup = groupOf(next)
            if (!formerGroup.hasLeader) return@deliver
            val status = formerGroup.rules
                .read(formerGroup.machine.state, LedgerQuery(grant.key, grant.bodyDigest))
                .decision
            time.count("former home replied $status")
            time.deliver {
                if (status == Decision.ABSENT) {
                    queryFormerHomes(grant, query, regions - next, onDecision)
                } else {
                    onDecision(LedgerDecision(if (status == Decision.NO_LEADER) Decision.FENCED else status))
                }
            }
        }
    }

    fun isHandOverComplete(caller: String): Boolean = rules.isActiveHome(machine.state, caller, homes.getValue(caller))

    fun propose(command: LedgerCommand, onResult: (LedgerDecision?) -> Unit = {}) {
        if (!hasLeader) return
        pending.addLast(command to onResult)
        crashPoint("ledger crash before commit")
        val proposalTerm = term
        time.after(time.random.nextLong(1, 25)) { if (proposalTerm == term && hasLeader) commitNext() }
    }

    fun onHostRestart(hostName: String, oldEpoch: Long) {
        if (hasLeader) rules.settleReplaced(machine.state, hostName, oldEpoch, atMs).forEach { propose(it) }
    }

    fun tick() {
        if (!hasLeader) return
        crashPoint("ledger crash while idle")
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
            fence.importFrom?.let { importFrom(groupOf(it), fence.caller, fence.manifestNumber) }
        }
        if (time.chance(20)) snapshot = log.size to machine.snapshot()
    }

    private fun importFrom(formerGroup: FakeLedgerGroup, caller: String, number: Long) {
        time.deliver {
            val exportable = formerGroup.export(caller, number, region) ?: return@deliver
            time.deliver {
                if (hasLeader) import(caller, number, exportable)
            }
        }
    }

    private fun import(caller: String, number: Long, exportable: ExportableEntries) {
        time.count("hand-over import")
        if (exportable.heldIn.isNotEmpty()) time.count("entries retained by a former home")
        exportable.movable.forEach {
            assertTrue(isAllowed(it.key.service, region), "${it.key} was sent to a region that its service excludes")
        }
        val batches = exportable.movable.chunked(2).ifEmpty { listOf(emptyList()) }
        batches.forEachIndexed { i, batch ->
            val isLast = i == batches.lastIndex
            val imported = LedgerImport(caller, number, batch, isLast, exportable.heldIn, exportable.heldForMs)
            propose(LedgerCommand(atMs, imported = imported))
        }
    }

    private fun export(caller: String, number: Long, toRegion: String): ExportableEntries? =
        if (hasLeader) rules.export(machine.state, caller, number, toRegion) { isAllowed(it, toRegion) } else null

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

    /** Crashes the leader at random: a prefix of the pending proposals is still committed, but none gets a reply. */
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
        assertEquals(machine.state.entries.keys, replica.state.entries.keys, "the restored replica has diverged")
        assertEquals(machine.state.tombstones, replica.state.tombstones, "the restored replica has diverged")
        assertEquals(machine.state.timeMs, replica.state.timeMs, "the restored replica has diverged")
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

/** Service of a key; every third key belongs to a service that is allowed in one region only. */
internal val LedgerKey.service: String
    get() = if (idempotencyKey.substringAfter('-').toInt() % 3 == 0) "local" else "shared"

internal fun isAllowed(service: String, region: String): Boolean = service == "shared" || region == "hue"

private val LedgerRequest.entryKey: LedgerKey? get() = finish?.key ?: release?.key ?: settle?.key
