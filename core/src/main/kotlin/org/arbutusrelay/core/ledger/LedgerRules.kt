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

/** How the leader processes a request. */
public sealed interface LedgerAction {
    /** Propose [command] and reply with its result after it is committed. */
    public data class Propose(public val command: LedgerCommand) : LedgerAction

    /** Reply immediately; requires a valid leader lease and an applied entry of the current term. */
    public data class Answer(public val decision: LedgerDecision) : LedgerAction

    /**
     * Query the ledger leaders of the former home [regions] for the key and the body digest of the grant.
     *
     * If none of them has an entry, decide again with [LedgerGrant.absentFor] set to [manifestNumber].
     */
    public data class QueryFormerHomes(public val regions: List<String>, public val manifestNumber: Long) : LedgerAction
}

/** Entries that a new home region may import, and the regions that retain the others. */
public data class ExportableEntries(
    public val movable: List<LedgerEntry>,
    /** Regions that retain entries which must not leave them. */
    public val heldIn: List<String>,
    /** Maximum remaining retention of those entries, in milliseconds. */
    public val heldForMs: Long,
)

/** Decision rules of the ledger leader of [region]; they read the state and return commands to propose. */
public class LedgerRules(private val region: String, private val limits: LedgerLimits = LedgerLimits()) {
    /**
     * Returns the action for [request].
     *
     * [home] is the home region of the caller, or null when the manifest has no such caller. [atMs] is the ledger time
     * of the command.
     */
    public fun decide(state: LedgerState, request: LedgerRequest, home: CallerHome?, atMs: Long): LedgerAction =
        request.grant?.let { grant(state, it, home, atMs) }
            ?: request.finish?.let { LedgerAction.Propose(LedgerCommand(atMs, finish = it)) }
            ?: request.release?.let { LedgerAction.Propose(LedgerCommand(atMs, release = it)) }
            ?: request.settle?.let { LedgerAction.Propose(LedgerCommand(atMs, settle = it)) }
            ?: LedgerAction.Answer(request.query?.let { read(state, it) } ?: LedgerDecision(Decision.ABSENT))

    private fun grant(state: LedgerState, grant: LedgerGrant, home: CallerHome?, atMs: Long): LedgerAction {
        val existing = state.entries[grant.key]
        val retainingFence = state.fenceWithRetainedEntries(grant.key.caller)
        val isFinished = existing != null && existing.status == LedgerEntry.Status.FINISHED
        return when {
            isFinished -> LedgerAction.Answer(decisionForExisting(existing, grant))

            home == null || !isActiveHome(state, grant.key.caller, home) ->
                LedgerAction.Answer(LedgerDecision(Decision.FENCED))

            existing == null && retainingFence != null && grant.absentFor != retainingFence.manifestNumber ->
                LedgerAction.QueryFormerHomes(retainingFence.heldIn.orEmpty(), retainingFence.manifestNumber)

            else -> LedgerAction.Propose(LedgerCommand(atMs, grant = grant))
        }
    }

    /** Returns true when this region is the home of [caller] and has completed the hand-over of its last move. */
    public fun isActiveHome(state: LedgerState, caller: String, home: CallerHome): Boolean {
        if (home.region != region || state.isFenced(caller)) return false
        val lastMove = home.moves.lastOrNull() ?: return true
        return (state.fences[caller]?.manifestNumber ?: 0) >= lastMove.number
    }

    /**
     * Returns the next fence command that this ledger must commit for the moves of [caller], or null.
     *
     * Both regions of a move commit a fence: the former home stops granting, and the new home grants nothing until it
     * has imported the entries. A region processes its moves in order and completes each before it starts the next.
     */
    public fun dueFence(state: LedgerState, caller: String, home: CallerHome, atMs: Long): LedgerCommand? {
        val current = state.fences[caller]
        if (current != null && current.isFenced && current.importFrom != null) return null
        val fencedNumber = current?.manifestNumber ?: 0
        val move = home.moves.firstOrNull { it.number > fencedNumber && (it.from == region || it.to == region) }
        if (move == null) return null
        val importFrom = move.from.takeIf { move.to == region }
        return LedgerCommand(atMs, fence = LedgerFence(caller, move.number, isFenced = true, importFrom))
    }

    /**
     * Returns the entries that [toRegion] may import for the move by manifest [number], or null.
     *
     * Returns null until this ledger has fenced [caller] for that move and completed its own imports. [isAllowed]
     * returns true when [toRegion] may store entries of a service. An entry without a service never moves.
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
        val (movable, retained) = state.entriesOf(caller).partition { it.service?.let(isAllowed) == true }
        val inheritedFence = state.fenceWithRetainedEntries(caller)
        val openGrantMs = retained.maxOfOrNull {
            if (it.status == LedgerEntry.Status.GRANTED) {
                it.expiresMs - state.timeMs
            } else {
                0
            }
        }
        val ownMs = openGrantMs?.let { it.coerceAtLeast(0) + limits.retentionMs } ?: 0
        val inheritedMs = (inheritedFence?.heldUntilMs ?: 0) - state.timeMs
        val heldIn = inheritedFence?.heldIn.orEmpty() + listOfNotNull(region.takeIf { retained.isNotEmpty() })
        return ExportableEntries(movable, (heldIn - toRegion).distinct(), maxOf(ownMs, inheritedMs))
    }

    /**
     * Returns the decision for a [query].
     *
     * The response is included even when the querying region may not store it; the sender must remove it.
     */
    public fun read(state: LedgerState, query: LedgerQuery): LedgerDecision {
        val isFromNewHome = query.bodyDigest != null
        // Without a fence, this ledger could still grant the key after it has reported it as absent.
        if (isFromNewHome && !state.isFenced(query.key.caller)) return LedgerDecision(Decision.NO_LEADER)
        val entry = state.entries[query.key] ?: return LedgerDecision(Decision.ABSENT)
        val isMismatch = isFromNewHome && entry.bodyDigest != query.bodyDigest
        return if (isMismatch) {
            LedgerDecision(Decision.BODY_MISMATCH)
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
     * Returns the move whose new home may have imported an entry of [caller] from this ledger, or null.
     *
     * A command that was applied after the export must be repeated in the new home. Call this after the command was
     * applied: the export includes every command that was applied before the fence. Returns null when [isAllowed] does
     * not permit [service] in the new home, because the response must not leave its regions.
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

    /** Returns commands that settle the open grants of a terminated process of [hostName] with epoch [oldEpoch]. */
    public fun settleReplaced(state: LedgerState, hostName: String, oldEpoch: Long, atMs: Long): List<LedgerCommand> =
        state.openGrants.values
            .filter { it.attempt.hostName == hostName && it.attempt.epoch == oldEpoch }
            .map { settle(it, atMs) }

    /** Returns commands that settle the open grants whose deadline and grace period have passed at [atMs]. */
    public fun settleOverdue(state: LedgerState, atMs: Long): List<LedgerCommand> =
        state.openGrants.values.filter { it.expiresMs <= atMs }.map { settle(it, atMs) }

    /** Returns an expiry command when [intervalMs] has passed since [lastExpiryMs], or null. */
    public fun dueExpiry(lastExpiryMs: Long, atMs: Long, intervalMs: Long = EXPIRY_INTERVAL_MS): LedgerCommand? {
        val beforeMs = atMs - limits.retentionMs
        if (beforeMs <= 0 || atMs - lastExpiryMs < intervalMs) return null
        return LedgerCommand(atMs, expire = LedgerExpire(beforeMs))
    }

    private fun settle(entry: LedgerEntry, atMs: Long) =
        LedgerCommand(atMs, settle = LedgerSettle(entry.key, entry.attempt))

    private companion object {
        /** One expiry per minute is frequent compared with the retention of a day, and adds few entries to the log. */
        private const val EXPIRY_INTERVAL_MS = 60_000L
    }
}
