package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerExpire
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerQuery
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LedgerSettle

/** What the leader does with a request. */
public sealed interface LedgerAction {
    /** Propose [command] and answer with its result once it is committed. */
    public data class Propose(public val command: LedgerCommand) : LedgerAction

    /** Answer at once; the leader lease must be held and the leader must have applied an entry of its own term. */
    public data class Answer(public val decision: LedgerDecision) : LedgerAction

    /**
     * Ask the leaders of the former home [regions] for the key, with the body digest of the grant.
     *
     * When all report that they hold no entry, decide again with [LedgerGrant.absentFor] set to [manifestNumber].
     */
    public data class QueryFormerHomes(public val regions: List<String>, public val manifestNumber: Long) : LedgerAction
}

/** Entries that a new home region may import, and where the others stay. */
public data class ExportableEntries(
    public val movable: List<LedgerEntry>,
    /** Regions that keep entries which may not move. */
    public val heldIn: List<String>,
    /** How long those are kept at most, in milliseconds. */
    public val heldForMs: Long,
)

/** The rules by which the leader of the ledger of [region] chooses commands. */
public class LedgerRules(private val region: String, private val limits: LedgerLimits = LedgerLimits()) {
    /**
     * Chooses what to do with [request].
     *
     * [home] is the manifest's entry for the caller, or null when the manifest has no such caller. [atMs] is the ledger
     * time of the command.
     */
    public fun decide(state: LedgerState, request: LedgerRequest, home: CallerHome?, atMs: Long): LedgerAction =
        request.grant?.let { grant(state, it, home, atMs) }
            ?: request.finish?.let { LedgerAction.Propose(LedgerCommand(atMs, finish = it)) }
            ?: request.release?.let { LedgerAction.Propose(LedgerCommand(atMs, release = it)) }
            ?: request.settle?.let { LedgerAction.Propose(LedgerCommand(atMs, settle = it)) }
            ?: LedgerAction.Answer(request.query?.let { read(state, it) } ?: LedgerDecision(Decision.ABSENT))

    private fun grant(state: LedgerState, grant: LedgerGrant, home: CallerHome?, atMs: Long): LedgerAction {
        val known = state.entries[grant.key]
        val held = state.heldElsewhere(grant.key.caller)
        val isFixed = known != null && known.status == LedgerEntry.Status.FINISHED
        return when {
            isFixed -> LedgerAction.Answer(answerGrant(known, grant))

            home == null || !isOpenHere(state, grant.key.caller, home) ->
                LedgerAction.Answer(LedgerDecision(Decision.FENCED))

            known == null && held != null && grant.absentFor != held.manifestNumber ->
                LedgerAction.QueryFormerHomes(held.heldIn.orEmpty(), held.manifestNumber)

            else -> LedgerAction.Propose(LedgerCommand(atMs, grant = grant))
        }
    }

    /** Returns true when this region is the home of [caller] and the hand-over of its last move is done. */
    public fun isOpenHere(state: LedgerState, caller: String, home: CallerHome): Boolean {
        if (home.region != region || state.isFenced(caller)) return false
        val lastMove = home.moves.lastOrNull() ?: return true
        return (state.fences[caller]?.manifestNumber ?: 0) >= lastMove.number
    }

    /**
     * Returns the fence that must be committed here for the moves of [caller], or null.
     *
     * Both regions of a move need it: the former home to stop its grants, the new one to wait for the import. A region
     * takes part in its moves in their order and finishes one before the next.
     */
    public fun dueFence(state: LedgerState, caller: String, home: CallerHome, atMs: Long): LedgerCommand? {
        val known = state.fences[caller]
        if (known != null && known.isFenced && known.importFrom != null) return null
        val reached = known?.manifestNumber ?: 0
        val move = home.moves.firstOrNull { it.number > reached && (it.from == region || it.to == region) }
        if (move == null) return null
        val importFrom = move.from.takeIf { move.to == region }
        return LedgerCommand(atMs, fence = LedgerFence(caller, move.number, isFenced = true, importFrom))
    }

    /**
     * Returns the entries that [toRegion] may import for the move by manifest [number], or null.
     *
     * Null means that this ledger has not fenced [caller] for that move, or waits for an import itself. [isAllowed]
     * says whether [toRegion] may hold entries of a service. An entry without a service may not move.
     */
    public fun export(
        state: LedgerState,
        caller: String,
        number: Long,
        toRegion: String,
        isAllowed: (String) -> Boolean,
    ): ExportableEntries? {
        val fence = state.fences[caller] ?: return null
        val isComplete = fence.manifestNumber > number || fence.importFrom == null
        if (!fence.isFenced || fence.manifestNumber < number || !isComplete) return null
        val (movable, held) = state.entriesOf(caller).partition { it.service?.let(isAllowed) == true }
        val inherited = state.heldElsewhere(caller)
        val openMs = held.maxOfOrNull {
            if (it.status ==
                LedgerEntry.Status.GRANTED
            ) {
                it.expiresMs - state.timeMs
            } else {
                0
            }
        }
        val ownMs = openMs?.let { it.coerceAtLeast(0) + limits.retentionMs } ?: 0
        val inheritedMs = (inherited?.heldUntilMs ?: 0) - state.timeMs
        val heldIn = inherited?.heldIn.orEmpty() + listOfNotNull(region.takeIf { held.isNotEmpty() })
        return ExportableEntries(movable, (heldIn - toRegion).distinct(), maxOf(ownMs, inheritedMs))
    }

    /** Answers a [query] from [state]; the response is present although the asking region may not be allowed for it. */
    public fun read(state: LedgerState, query: LedgerQuery): LedgerDecision {
        val isOfNewHome = query.bodyDigest != null
        // Only a fenced ledger can promise that the key stays absent.
        if (isOfNewHome && !state.isFenced(query.key.caller)) return LedgerDecision(Decision.NO_LEADER)
        val entry = state.entries[query.key] ?: return LedgerDecision(Decision.ABSENT)
        val isMismatch = isOfNewHome && entry.bodyDigest != query.bodyDigest
        return if (isMismatch) {
            LedgerDecision(
                Decision.BODY_MISMATCH,
            )
        } else {
            LedgerDecision(entry.status.toDecision(), entry.response)
        }
    }

    /** Returns true when this ledger has imported the entries of [caller] for the move by manifest [afterMove]. */
    public fun hasImported(state: LedgerState, caller: String, afterMove: Long): Boolean {
        val fence = state.fences[caller] ?: return false
        val isImported = fence.manifestNumber == afterMove && fence.importFrom == null
        return isImported || fence.manifestNumber > afterMove
    }

    /**
     * Returns the move that may have taken a copy of an entry of [caller] away from here, or null.
     *
     * To be called after a command for the entry was applied: a command that is applied before the fence is exported
     * with the entry. A response must not follow a move that its [service] does not allow.
     */
    public fun moveToFollow(
        state: LedgerState,
        caller: String,
        home: CallerHome?,
        service: String?,
        isAllowed: (String, String) -> Boolean,
    ): HomeMove? {
        val fence = state.fences[caller]?.takeIf { it.isFenced } ?: return null
        val move = home?.moves?.find { it.number == fence.manifestNumber && it.from == region } ?: return null
        return move.takeIf { service != null && isAllowed(service, it.to) }
    }

    /** Returns commands that settle the open grants of a process epoch that ended. */
    public fun settleReplaced(state: LedgerState, hostName: String, oldEpoch: Long, atMs: Long): List<LedgerCommand> =
        state.open.values
            .filter { it.attempt.hostName == hostName && it.attempt.epoch == oldEpoch }
            .map { settle(it, atMs) }

    /** Returns commands that settle the open grants whose deadline and grace have passed at [atMs]. */
    public fun settleOverdue(state: LedgerState, atMs: Long): List<LedgerCommand> =
        state.open.values.filter { it.expiresMs <= atMs }.map { settle(it, atMs) }

    /** Returns an expiry when [intervalMs] has passed since the one before [lastExpiryMs], or null. */
    public fun dueExpiry(lastExpiryMs: Long, atMs: Long, intervalMs: Long = EXPIRY_INTERVAL_MS): LedgerCommand? {
        val beforeMs = atMs - limits.retentionMs
        if (beforeMs <= 0 || atMs - lastExpiryMs < intervalMs) return null
        return LedgerCommand(atMs, expire = LedgerExpire(beforeMs))
    }

    private fun settle(entry: LedgerEntry, atMs: Long) =
        LedgerCommand(atMs, settle = LedgerSettle(entry.key, entry.attempt))

    private companion object {
        /** One expiry a minute keeps its log entries rare against the retention of a day. */
        private const val EXPIRY_INTERVAL_MS = 60_000L
    }
}
