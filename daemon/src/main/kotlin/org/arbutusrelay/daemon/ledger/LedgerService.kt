package org.arbutusrelay.daemon.ledger

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.arbutusrelay.core.ledger.CallerHome
import org.arbutusrelay.core.ledger.LedgerAction
import org.arbutusrelay.core.ledger.LedgerClock
import org.arbutusrelay.core.ledger.LedgerDecision
import org.arbutusrelay.core.ledger.LedgerRules
import org.arbutusrelay.core.ledger.LedgerStateMachine
import org.arbutusrelay.daemon.consensus.ConsensusGroup
import org.arbutusrelay.daemon.link.FrameReceiver
import org.arbutusrelay.daemon.link.HostIdentity
import org.arbutusrelay.daemon.link.LinkNetwork
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerExport
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LinkFrame
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.TimeSource

/**
 * Serves the ledger of this host's region while this host is its leader.
 *
 * While this host does not hold the leader lease, [serve] replies with [Decision.NO_LEADER] and the name of the leader,
 * if known. [machine] is the state machine that [group] replicates.
 */
public class LedgerService(
    private val group: ConsensusGroup<LedgerDecision>,
    private val machine: LedgerStateMachine,
    private val rules: LedgerRules,
    private val homes: CallerHomes,
    private val network: LinkNetwork,
    private val scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
    private val maxInFlight: Int = 4_096,
) : FrameReceiver {
    private val start = timeSource.markNow()
    private val clock = LedgerClock()
    private val inFlight = AtomicInteger()
    private val readyMutex = Mutex()

    @Volatile
    private var readyTerm = -1L
    private var lastExpiryMs = 0L
    private val replacedEpochs = ReplacedEpochs()

    /** Access to former home regions; while it is null, keys that may have an entry there are refused. */
    @Volatile
    internal var formerHomes: FormerHomes? = null

    /** Starts to receive frames, to settle and expire entries, and to fence moved callers, until [scope] ends. */
    public fun start() {
        network.addReceiver(this)
        scope.launch {
            while (true) {
                delay(MAINTENANCE_INTERVAL_MS)
                maintain()
            }
        }
    }

    override fun onFrame(from: HostIdentity, frame: LinkFrame) {
        val request = frame.ledgerRequest?.takeIf { it.group == group.name } ?: return
        if (inFlight.incrementAndGet() > maxInFlight) {
            inFlight.decrementAndGet()
            send(from, LedgerReply(request.correlation, Decision.NO_LEADER))
            return
        }
        scope.launch {
            try {
                send(from, serve(from, request))
            } finally {
                inFlight.decrementAndGet()
            }
        }
    }

    /** Returns the reply to a [request] of the process [from], which may be this process. */
    public suspend fun serve(from: HostIdentity, request: LedgerRequest): LedgerReply {
        val term = group.term
        val export = request.export
        return when {
            !isReady(term) || !hasImported(request) -> noLeaderReply(request)
            request.attempt?.isOwnedBy(from) == false -> LedgerReply(request.correlation, Decision.NOT_OWNER)
            export != null -> serveExport(term, request.correlation, export)
            else -> handle(from, request, term)
        }
    }

    /** Returns false when a command follows a home move whose entries are not imported in this region yet. */
    private fun hasImported(request: LedgerRequest): Boolean {
        val afterMove = request.afterMove
        val caller = request.caller
        return afterMove == null || caller == null || rules.hasImported(machine.state, caller, afterMove)
    }

    private suspend fun handle(from: HostIdentity, request: LedgerRequest, term: Long): LedgerReply {
        val service = request.entryKey?.let { machine.state.entries[it]?.service }
        val decision = decide(request.copy(grant = request.grant?.copy(absentFor = null)), request.caller, term)
        // Without the lease, another leader may have decided differently.
        if (decision == null || !isLeading(term)) return noLeaderReply(request)
        val reply = withoutCrossRegionResponse(from, request, decision).toReply(request.correlation)
        val caller = request.entryKey?.caller ?: return reply
        val move = rules.moveToFollow(machine.state, caller, homes.homeOf(caller), service, homes::isAllowed)
        return reply.copy(movedTo = move?.to, movedBy = move?.number)
    }

    private suspend fun decide(request: LedgerRequest, caller: String?, term: Long): LedgerDecision? {
        val home = caller?.let(homes::homeOf)
        return when (val action = rules.decide(machine.state, request, home, atMs(term))) {
            is LedgerAction.Answer -> action.decision
            is LedgerAction.Propose -> propose(action.command)
            is LedgerAction.QueryFormerHomes -> request.grant?.let { grantIfAbsent(it, action, request, home, term) }
        }
    }

    /** Grants a key once all former home regions have replied that they have no entry for it. */
    private suspend fun grantIfAbsent(
        grant: LedgerGrant,
        formerHomesQuery: LedgerAction.QueryFormerHomes,
        request: LedgerRequest,
        home: CallerHome?,
        term: Long,
    ): LedgerDecision? {
        for (region in formerHomesQuery.regions) {
            val status = formerHomes?.status(region, LedgerQuery(grant.key, grant.bodyDigest))
            // A stored response must not leave the former home region, so only the status is returned.
            if (status != Decision.ABSENT) return LedgerDecision(status ?: Decision.FENCED)
        }
        val absentRequest = request.copy(grant = grant.copy(absentFor = formerHomesQuery.manifestNumber))
        return when (val action = rules.decide(machine.state, absentRequest, home, atMs(term))) {
            is LedgerAction.Answer -> action.decision
            is LedgerAction.Propose -> propose(action.command)
            is LedgerAction.QueryFormerHomes -> LedgerDecision(Decision.FENCED)
        }
    }

    /** Removes the response from the reply to a new home region, which may not be allowed to store it. */
    private fun withoutCrossRegionResponse(from: HostIdentity, request: LedgerRequest, decision: LedgerDecision) =
        if (request.query?.bodyDigest != null && from.region != network.self.region) {
            decision.copy(response = null)
        } else {
            decision
        }

    /** Settles the open grants of a replaced process; a later leader does the same. */
    public fun onHostReplaced(hostName: String, oldEpoch: Long) {
        replacedEpochs.add(hostName, oldEpoch)
        scope.launch { maintain() }
    }

    /** Settles and expires due entries and fences moved callers; does nothing while this host is not the leader. */
    public suspend fun maintain() {
        val term = group.term
        if (!isReady(term)) return
        val atMs = atMs(term)
        val state = machine.state
        val settles =
            rules.settleOverdue(state, atMs) +
                replacedEpochs.all().flatMap { rules.settleReplaced(state, it.hostName, it.epoch, atMs) }
        val fences = homes.moved().mapNotNull { (caller, home) -> rules.dueFence(state, caller, home, atMs) }
        val expiry = rules.dueExpiry(lastExpiryMs, atMs)
        if (expiry != null) lastExpiryMs = atMs
        proposeAll((settles + fences + listOfNotNull(expiry)).distinct())
    }

    /** Commits a batch exported by the ledger of the former home region; returns false when it was not committed. */
    internal suspend fun commitImport(reply: LedgerReply): Boolean {
        val batch = reply.exported ?: return false
        val term = group.term
        if (!isReady(term)) return false
        val decision = propose(LedgerCommand(atMs(term), imported = batch))?.decision
        return decision == if (batch.isLast) Decision.SETTLED else Decision.FENCED
    }

    /** Returns the callers whose entries this leader has yet to import, with the region to import from. */
    internal suspend fun dueImports(): List<DueImport> {
        if (!isReady(group.term)) return emptyList()
        return machine.state.fences.values.mapNotNull { fence ->
            fence.importFrom?.takeIf { fence.isFenced }?.let { DueImport(fence.caller, fence.manifestNumber, it) }
        }
    }

    private fun serveExport(
        term: Long,
        correlation: Long,
        export: LedgerExport,
    ): LedgerReply {
        val batch = exportBatch(rules, machine.state, export) { homes.isAllowed(it, export.region) }
        if (!isLeading(term)) return LedgerReply(correlation, Decision.NO_LEADER, leaderName = group.leaderName)
        return LedgerReply(correlation, if (batch == null) Decision.ABSENT else Decision.FENCED, exported = batch)
    }

    private suspend fun proposeAll(commands: List<LedgerCommand>) = coroutineScope {
        commands.chunked(MAX_CONCURRENT_PROPOSALS).forEach { chunk -> chunk.map { async { propose(it) } }.awaitAll() }
    }

    private suspend fun propose(command: LedgerCommand): LedgerDecision? =
        group.propose(ReplicatedCommand(ledger = command)).getOrNull()

    /**
     * Returns true when this host leads in [term] and has applied an entry of that term.
     *
     * Until then its state may lack entries that an earlier leader committed.
     */
    private suspend fun isReady(term: Long): Boolean {
        if (!isLeading(term)) return false
        if (readyTerm == term) return true
        return readyMutex.withLock {
            if (readyTerm != term && group.propose(ReplicatedCommand()).isRight() && isLeading(term)) readyTerm = term
            readyTerm == term
        }
    }

    private fun isLeading(term: Long) = group.isLeaseHeld() && group.term == term

    private fun atMs(term: Long) = clock.atMs(term, machine.state, start.elapsedNow().inWholeMilliseconds)

    private fun noLeaderReply(request: LedgerRequest): LedgerReply {
        val leader = group.leaderName.takeIf { it != network.self.hostName }
        return LedgerReply(request.correlation, Decision.NO_LEADER, leaderName = leader)
    }

    private fun send(to: HostIdentity, reply: LedgerReply) {
        // A reply that cannot be queued is lost; the entry host repeats its request.
        network.send(to.hostName, LinkFrame(ledgerReply = reply))
    }

    private companion object {
        private const val MAINTENANCE_INTERVAL_MS = 1_000L
        private const val MAX_CONCURRENT_PROPOSALS = 64
    }
}

private val LedgerRequest.attempt: Attempt?
    get() = grant?.attempt ?: finish?.attempt ?: release?.attempt ?: settle?.attempt

private val LedgerRequest.caller: String?
    get() = grant?.key?.caller ?: finish?.key?.caller ?: release?.key?.caller ?: settle?.key?.caller

private val LedgerRequest.entryKey: LedgerKey?
    get() = finish?.key ?: release?.key ?: settle?.key

private fun Attempt.isOwnedBy(host: HostIdentity) = hostName == host.hostName && epoch == host.epoch
