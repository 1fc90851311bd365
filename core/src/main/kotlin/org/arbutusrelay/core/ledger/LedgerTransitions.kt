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

/** A state and the decision that led to it. */
internal data class Transition(val state: LedgerState, val decision: LedgerDecision)

/** The transitions of a region ledger, except expiry, as functions of the state and the command. */
internal class LedgerTransitions(private val limits: LedgerLimits, private val invariants: Invariants) {
    /** Applies [command] at ledger time [LedgerState.timeMs]. */
    fun apply(state: LedgerState, command: LedgerCommand): Transition = command.grant?.let { grant(state, it) }
        ?: command.finish?.let { finish(state, it) }
        ?: command.release?.let { release(state, it) }
        ?: command.settle?.let { settle(state, it) }
        ?: command.fence?.let { fence(state, it) }
        ?: command.imported?.let { import(state, it) }
        ?: state.decided(Decision.ABSENT)

    private fun grant(state: LedgerState, grant: LedgerGrant): Transition {
        if (ReleasedAttempt(grant.key, grant.attempt) in state.tombstones) return state.decided(Decision.RELEASED)
        state.entries[grant.key]?.let { return Transition(state, answerGrant(it, grant)) }
        val held = state.heldElsewhere(grant.key.caller)
        val mayBeHeld = held != null && grant.absentFor != held.manifestNumber
        if (state.isFenced(grant.key.caller) || mayBeHeld) return state.decided(Decision.FENCED)
        if (state.recordCount >= limits.maxRecords) return state.decided(Decision.NO_LEADER)
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
        val entry = state.entries[finish.key] ?: return state.decided(Decision.ABSENT)
        if (entry.attempt != finish.attempt) return state.decided(Decision.NOT_OWNER)
        if (entry.status == Status.FINISHED) return state.decided(Decision.FINISHED)
        val finished =
            entry.copy(
                attempt = finish.attempt,
                status = Status.FINISHED,
                changedMs = state.timeMs,
                response = bounded(state, finish.response),
            )
        return put(state, finished, Decision.FINISHED)
    }

    private fun bounded(state: LedgerState, response: StoredResponse): StoredResponse {
        val isStored =
            response.body.size <= limits.maxResponseBytes &&
                state.storedBytes + response.body.size <= limits.maxStoredBytes
        return if (isStored) response else response.copy(body = ByteArray(0), isBodyStored = false)
    }

    private fun release(state: LedgerState, release: LedgerRelease): Transition {
        val entry = state.entries[release.key]
        if (entry?.attempt == release.attempt) {
            if (entry.status != Status.GRANTED) return state.decided(entry.status.toDecision())
            return withTombstone(state.without(entry), release)
        }
        // A full ledger refuses grants too; the owner repeats its release until records have expired.
        if (state.recordCount >= limits.maxRecords) return state.decided(Decision.NO_LEADER)
        return withTombstone(state, release)
    }

    private fun withTombstone(state: LedgerState, release: LedgerRelease): Transition {
        val tombstone = ReleasedAttempt(release.key, release.attempt)
        if (tombstone in state.tombstones) return state.decided(Decision.RELEASED)
        return state.copy(tombstones = state.tombstones.put(tombstone, state.timeMs)).decided(Decision.RELEASED)
    }

    private fun settle(state: LedgerState, settle: LedgerSettle): Transition {
        val entry = state.entries[settle.key] ?: return state.decided(Decision.ABSENT)
        if (entry.attempt != settle.attempt) return state.decided(Decision.NOT_OWNER)
        if (entry.status != Status.GRANTED) return state.decided(entry.status.toDecision())
        return put(state, entry.copy(status = Status.UNKNOWN, changedMs = state.timeMs), Decision.SETTLED)
    }

    private fun fence(state: LedgerState, fence: LedgerFence): Transition {
        val known = state.fences[fence.caller]
        // Entries of an unfinished hand-over would be lost if the next move exported this ledger without them.
        val isHandOverOpen = known != null && known.isFenced && known.importFrom != null
        val isOld = known != null && known.manifestNumber >= fence.manifestNumber
        if (isHandOverOpen || isOld) return refuse(state, fence.caller)
        val kept = fence.copy(heldIn = known?.heldIn, heldUntilMs = known?.heldUntilMs)
        val next = state.copy(fences = state.fences.put(fence.caller, kept))
        return next.decided(if (fence.isFenced) Decision.FENCED else Decision.SETTLED)
    }

    private fun import(state: LedgerState, batch: LedgerImport): Transition {
        val fence = state.fences[batch.caller]
        val isDue = fence != null && fence.isFenced && fence.importFrom != null
        if (!isDue || fence.manifestNumber != batch.manifestNumber) return refuse(state, batch.caller)
        val merged = batch.entries.filter { it.key.caller == batch.caller }.fold(state, ::merge)
        val held = withHeld(fence, batch, state.timeMs)
        val next = if (batch.isLast) held.copy(isFenced = false, importFrom = null) else held
        val decision = if (batch.isLast) Decision.SETTLED else Decision.FENCED
        return merged.copy(fences = merged.fences.put(batch.caller, next)).decided(decision)
    }

    /** Each batch counts: an entry that one batch left behind may be allowed to move when the last one is made. */
    private fun withHeld(fence: LedgerFence, batch: LedgerImport, atMs: Long): LedgerFence {
        val added = batch.heldIn.orEmpty()
        if (added.isEmpty()) return fence
        val untilMs = maxOf(fence.heldUntilMs ?: 0, atMs + (batch.heldForMs ?: limits.retentionMs))
        return fence.copy(heldIn = (fence.heldIn.orEmpty() + added).distinct(), heldUntilMs = untilMs)
    }

    /**
     * Takes over an entry. Ledger times of two regions are not comparable, so its retention and grace start anew, which
     * only lengthens them. What is known of the same attempt only advances; another attempt replaces an entry that
     * is not finished, because the former home could grant it only after the attempt known here was released there.
     */
    private fun merge(state: LedgerState, foreign: LedgerEntry): LedgerState {
        val known = state.entries[foreign.key]
        if (known?.status == Status.FINISHED) return state
        if (ReleasedAttempt(foreign.key, foreign.attempt) in state.tombstones) return state
        val isOlder = known?.attempt == foreign.attempt && foreign.status == Status.GRANTED
        if (isOlder) return state
        val remainingMs = (foreign.expiresMs - foreign.changedMs).coerceAtLeast(0)
        val entry = foreign.copy(changedMs = state.timeMs, expiresMs = state.timeMs + remainingMs)
        return (if (known == null) state else state.without(known)).with(entry)
    }

    private fun put(state: LedgerState, entry: LedgerEntry, decision: Decision): Transition {
        val old = state.entries[entry.key]
        val isLegal = if (entry.status == Status.GRANTED) old == null else old?.attempt == entry.attempt
        val isHeld =
            invariants.check(Guarantee.AT_MOST_ONCE, isLegal) {
                "${entry.key} changes from $old to ${entry.attempt}"
            } &&
                invariants.check(Guarantee.RESPONSE_OWNER, old == null || old.bodyDigest == entry.bodyDigest) {
                    "${entry.key} holds the response of another request"
                }
        if (!isHeld) return state.decided(Decision.NOT_OWNER)
        return (if (old == null) state else state.without(old)).with(entry).decided(decision)
    }

    private fun refuse(state: LedgerState, caller: String): Transition =
        state.decided(if (state.isFenced(caller)) Decision.FENCED else Decision.ABSENT)
}

/** Answers a grant request for a key that has an entry. */
internal fun answerGrant(entry: LedgerEntry, grant: LedgerGrant): LedgerDecision = when {
    entry.bodyDigest != grant.bodyDigest -> LedgerDecision(Decision.BODY_MISMATCH)
    entry.status == Status.GRANTED && entry.attempt == grant.attempt -> LedgerDecision(Decision.GRANTED)
    else -> LedgerDecision(entry.status.toDecision(), entry.response)
}

/** Decision that tells the status of an entry to anyone but its owner. */
internal fun Status.toDecision(): Decision = when (this) {
    Status.GRANTED -> Decision.IN_PROGRESS
    Status.FINISHED -> Decision.FINISHED
    Status.UNKNOWN -> Decision.UNKNOWN
}

internal fun LedgerState.decided(decision: Decision): Transition = Transition(this, LedgerDecision(decision))

internal fun LedgerState.with(entry: LedgerEntry): LedgerState = copy(
    entries = entries.put(entry.key, entry),
    open = if (entry.status == Status.GRANTED) open.put(entry.key, entry) else open,
    storedBytes = storedBytes + entry.bodyBytes,
)

internal fun LedgerState.without(entry: LedgerEntry): LedgerState = copy(
    entries = entries.remove(entry.key),
    open = open.remove(entry.key),
    storedBytes = storedBytes - entry.bodyBytes,
)

private val LedgerEntry.bodyBytes: Int get() = response?.body?.size ?: 0
