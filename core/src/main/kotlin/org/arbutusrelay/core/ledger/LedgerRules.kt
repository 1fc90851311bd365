package org.arbutusrelay.core.ledger

import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerExpire
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerRequest
import org.arbutusrelay.schema.message.LedgerSettle

/** What the leader does with a request. */
public sealed interface LedgerAction {
    /** Propose [command] and answer with its result once it is committed. */
    public data class Propose(public val command: LedgerCommand) : LedgerAction

    /** Answer at once; the leader lease must be held and the leader must have applied an entry of its own term. */
    public data class Answer(public val decision: LedgerDecision) : LedgerAction
}

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
            ?: LedgerAction.Answer(request.query?.let { read(state, it.key) } ?: LedgerDecision(Decision.ABSENT))

    private fun grant(state: LedgerState, grant: LedgerGrant, home: CallerHome?, atMs: Long): LedgerAction {
        val known = state.entries[grant.key]
        val isFixed = known != null && known.status == LedgerEntry.Status.FINISHED
        return when {
            isFixed -> LedgerAction.Answer(answerGrant(known, grant))

            home == null || !isOpenHere(state, grant.key.caller, home) ->
                LedgerAction.Answer(LedgerDecision(Decision.FENCED))

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
     * Returns the entries that the new home may import for the move by manifest [number], or null.
     *
     * Null means that this ledger has not fenced [caller] for that move, or waits for an import itself.
     */
    public fun export(state: LedgerState, caller: String, number: Long): List<LedgerEntry>? {
        val fence = state.fences[caller] ?: return null
        val isComplete = fence.manifestNumber > number || fence.importFrom == null
        return if (fence.isFenced && fence.manifestNumber >= number && isComplete) state.entriesOf(caller) else null
    }

    /** Answers a query for [key] from [state]. */
    public fun read(state: LedgerState, key: LedgerKey): LedgerDecision {
        val entry = state.entries[key] ?: return LedgerDecision(Decision.ABSENT)
        return LedgerDecision(entry.status.toDecision(), entry.response)
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
