package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.LedgerCommand
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerEntry.Status
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerImport
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.LedgerSettle
import org.arbutusrelay.schema.message.StoredResponse

/** New state and decision that result from a command. */
internal data class Transition(val state: LedgerState, val decision: LedgerDecision)

/** State transitions of a region ledger, except expiry, as pure functions of the state and the command. */
internal class LedgerTransitions(private val limits: LedgerLimits, private val invariants: Invariants) {
    /** Applies [command] at ledger time [LedgerState.timeMs]. */
    fun apply(state: LedgerState, command: LedgerCommand): Transition = command.grant?.let { grant(state, it) }
        ?: command.finish?.let { finish(state, it) }
        ?: command.release?.let { release(state, it) }
        ?: command.settle?.let { settle(state, it) }
        ?: command.fence?.let { fence(state, it) }
        ?: command.imported?.let { import(state, it) }
        ?: state.withDecision(Decision.ABSENT)

    private fun grant(state: LedgerState, grant: LedgerGrant): Transition {
        if (ReleasedAttempt(grant.key, grant.attempt) in state.tombstones) return state.withDecision(Decision.RELEASED)
        state.entries[grant.key]?.let { return Transition(state, decisionForExisting(it, grant)) }
        val retainingFence = state.fenceWithRetainedEntries(grant.key.caller)
        val mayBeRetained = retainingFence != null && grant.absentFor != retainingFence.manifestNumber
        if (state.isFenced(grant.key.caller) || mayBeRetained) return state.withDecision(Decision.FENCED)
        if (state.recordCount >= limits.maxRecords) return state.withDecision(Decision.NO_LEADER)
        val expiresMs = state.timeMs + grant.deadlineMs + limits.graceMs
        val entry =
            LedgerEntry(
                key = grant.key,
                attempt = grant.attempt,
                bodyDigest = grant.bodyDigest,
                status = Status.GRANTED,
                changedMs = state.timeMs,
                expiresMs = expiresMs,
                service = grant.service,
            )
        return put(state, entry, Decision.GRANTED)
    }

    private fun finish(state: LedgerState, finish: LedgerFinish): Transition {
        val entry = state.entries[finish.key] ?: return state.withDecision(Decision.ABSENT)
        if (entry.attempt != finish.attempt) return state.withDecision(Decision.NOT_OWNER)
        if (entry.status == Status.FINISHED) return state.withDecision(Decision.FINISHED)
        val finished =
            entry.copy(
                attempt = finish.attempt,
                status = Status.FINISHED,
                changedMs = state.timeMs,
                response = limitBody(state, finish.response),
            )
        return put(state, finished, Decision.FINISHED)
    }

    private fun limitBody(state: LedgerState, response: StoredResponse): StoredResponse {
        val isStored =
            response.body.size <= limits.maxResponseBytes &&
                state.storedBytes + response.body.size <= limits.maxStoredBytes
        return if (isStored) response else response.copy(body = ByteArray(0), isBodyStored = false)
    }

    private fun release(state: LedgerState, release: LedgerRelease): Transition {
        val entry = state.entries[release.key]
        if (entry?.attempt == release.attempt) {
            if (entry.status != Status.GRANTED) return state.withDecision(entry.status.toDecision())
            return withTombstone(state.without(entry), release)
        }
        // A full ledger refuses grants as well; the owner repeats its release until records have expired.
        if (state.recordCount >= limits.maxRecords) return state.withDecision(Decision.NO_LEADER)
        return withTombstone(state, release)
    }

    private fun withTombstone(state: LedgerState, release: LedgerRelease): Transition {
        val tombstone = ReleasedAttempt(release.key, release.attempt)
        if (tombstone in state.tombstones) return state.withDecision(Decision.RELEASED)
        return state.copy(tombstones = state.tombstones.put(tombstone, state.timeMs)).withDecision(Decision.RELEASED)
    }

    private fun settle(state: LedgerState, settle: LedgerSettle): Transition {
        val entry = state.entries[settle.key] ?: return state.withDecision(Decision.ABSENT)
        if (entry.attempt != settle.attempt) return state.withDecision(Decision.NOT_OWNER)
        if (entry.status != Status.GRANTED) return state.withDecision(entry.status.toDecision())
        return put(state, entry.copy(status = Status.UNKNOWN, changedMs = state.timeMs), Decision.SETTLED)
    }

    private fun fence(state: LedgerState, fence: LedgerFence): Transition {
        val current = state.fences[fence.caller]
        // An export for the next move would lack the entries that a pending import has not added yet.
        val isImportPending = current != null && current.isFenced && current.importFrom != null
        val isStale = current != null && current.manifestNumber >= fence.manifestNumber
        if (isImportPending || isStale) return rejectCommand(state, fence.caller)
        val newFence = fence.copy(heldIn = current?.heldIn, heldUntilMs = current?.heldUntilMs)
        val next = state.copy(fences = state.fences.put(fence.caller, newFence))
        return next.withDecision(if (fence.isFenced) Decision.FENCED else Decision.SETTLED)
    }

    private fun import(state: LedgerState, batch: LedgerImport): Transition {
        val fence = state.fences[batch.caller]
        val isExpected = fence != null && fence.isFenced && fence.importFrom != null
        if (!isExpected || fence.manifestNumber != batch.manifestNumber) return rejectCommand(state, batch.caller)
        val merged = batch.entries.filter { it.key.caller == batch.caller }.fold(state, ::merge)
        val retaining = withRetainedEntries(fence, batch, state.timeMs)
        val next = if (batch.isLast) retaining.copy(isFenced = false, importFrom = null) else retaining
        val decision = if (batch.isLast) Decision.SETTLED else Decision.FENCED
        return merged.copy(fences = merged.fences.put(batch.caller, next)).withDecision(decision)
    }

    /**
     * Adds the regions that retain entries according to [batch].
     *
     * Every batch is evaluated, not only the last one: an entry that an earlier batch left out may have become movable
     * by the time the last batch is created.
     */
    private fun withRetainedEntries(fence: LedgerFence, batch: LedgerImport, atMs: Long): LedgerFence {
        val added = batch.heldIn.orEmpty()
        if (added.isEmpty()) return fence
        val untilMs = maxOf(fence.heldUntilMs ?: 0, atMs + (batch.heldForMs ?: limits.retentionMs))
        return fence.copy(heldIn = (fence.heldIn.orEmpty() + added).distinct(), heldUntilMs = untilMs)
    }

    /**
     * Merges an entry of the former home into [state].
     *
     * Ledger times of two regions are not comparable, so retention and grace period restart, which only extends them.
     * The status of the same attempt only advances. Another attempt replaces an entry that is not finished, because
     * the former home can have granted it only after it released the attempt of the local entry.
     */
    private fun merge(state: LedgerState, imported: LedgerEntry): LedgerState {
        val existing = state.entries[imported.key]
        if (existing?.status == Status.FINISHED) return state
        if (ReleasedAttempt(imported.key, imported.attempt) in state.tombstones) return state
        val isOlder = existing?.attempt == imported.attempt && imported.status == Status.GRANTED
        if (isOlder) return state
        val remainingMs = (imported.expiresMs - imported.changedMs).coerceAtLeast(0)
        val entry = imported.copy(changedMs = state.timeMs, expiresMs = state.timeMs + remainingMs)
        return (if (existing == null) state else state.without(existing)).with(entry)
    }

    private fun put(state: LedgerState, entry: LedgerEntry, decision: Decision): Transition {
        val old = state.entries[entry.key]
        val isSingleOwner = if (entry.status == Status.GRANTED) old == null else old?.attempt == entry.attempt
        val isConsistent =
            invariants.check(Guarantee.AT_MOST_ONCE, isSingleOwner) {
                "${entry.key} was about to change from $old to ${entry.attempt}"
            } &&
                invariants.check(Guarantee.RESPONSE_OWNER, old == null || old.bodyDigest == entry.bodyDigest) {
                    "${entry.key} was about to store the response of another request"
                }
        if (!isConsistent) return state.withDecision(Decision.NOT_OWNER)
        return (if (old == null) state else state.without(old)).with(entry).withDecision(decision)
    }

    private fun rejectCommand(state: LedgerState, caller: String): Transition =
        state.withDecision(if (state.isFenced(caller)) Decision.FENCED else Decision.ABSENT)
}

/** Returns the decision for a grant request whose key already has an entry. */
internal fun decisionForExisting(entry: LedgerEntry, grant: LedgerGrant): LedgerDecision = when {
    entry.bodyDigest != grant.bodyDigest -> LedgerDecision(Decision.BODY_MISMATCH)
    entry.status == Status.GRANTED && entry.attempt == grant.attempt -> LedgerDecision(Decision.GRANTED)
    else -> LedgerDecision(entry.status.toDecision(), entry.response)
}

/** Returns the decision that reports this status to any attempt but the owner of the entry. */
internal fun Status.toDecision(): Decision = when (this) {
    Status.GRANTED -> Decision.IN_PROGRESS
    Status.FINISHED -> Decision.FINISHED
    Status.UNKNOWN -> Decision.UNKNOWN
}

internal fun LedgerState.withDecision(decision: Decision): Transition = Transition(this, LedgerDecision(decision))

internal fun LedgerState.with(entry: LedgerEntry): LedgerState = copy(
    entries = entries.put(entry.key, entry),
    openGrants = if (entry.status == Status.GRANTED) openGrants.put(entry.key, entry) else openGrants,
    storedBytes = storedBytes + entry.bodyBytes,
)

internal fun LedgerState.without(entry: LedgerEntry): LedgerState = copy(
    entries = entries.remove(entry.key),
    openGrants = openGrants.remove(entry.key),
    storedBytes = storedBytes - entry.bodyBytes,
)

private val LedgerEntry.bodyBytes: Int get() = response?.body?.size ?: 0
