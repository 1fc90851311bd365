package org.arbutusrelay.core.ledger

import org.arbutusrelay.core.consensus.StateMachine
import org.arbutusrelay.core.invariant.Guarantee
import org.arbutusrelay.core.invariant.Invariants
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerExpire
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.ReplicatedCommand
import java.util.concurrent.atomic.AtomicReference

/**
 * Replicated idempotency ledger of a region; it grants each key to at most one attempt at a time.
 *
 * Commands must be applied by one thread at a time. Any thread may read [state] without a lock.
 */
public class LedgerStateMachine(
    private val limits: LedgerLimits = LedgerLimits(),
    private val invariants: Invariants = Invariants(),
) : StateMachine<LedgerDecision> {
    private val current = AtomicReference(LedgerState())
    private val transitions = LedgerTransitions(limits, invariants)
    private var expiry = ExpiryQueue()

    /** State after the last applied command. */
    public val state: LedgerState get() = current.get()

    override fun apply(index: Long, command: ReplicatedCommand): LedgerDecision {
        val ledger = command.ledger ?: return LedgerDecision(Decision.ABSENT)
        // A command of a former leader may have an older time than an earlier log entry of the new leader.
        val before = current.get().let { it.copy(timeMs = maxOf(it.timeMs, ledger.atMs)) }
        val (after, decision) = ledger.expire?.let { expire(before, it) } ?: transitions.apply(before, ledger)
        expiry.addChanges(before, after, ledger)
        current.set(after)
        return decision
    }

    override fun snapshot(): ByteArray = LedgerSnapshot.encode(current.get())

    override fun restore(snapshot: ByteArray) {
        val restored = LedgerSnapshot.decode(snapshot)
        expiry = ExpiryQueue.of(restored)
        current.set(restored)
    }

    private fun expire(state: LedgerState, command: LedgerExpire): Transition {
        val limitMs = minOf(command.beforeMs, state.timeMs - limits.retentionMs)
        var next = state
        expiry.removeBefore(limitMs) { record ->
            val entry = next.entries[record.key]
            if (entry != null && isExpired(entry, limitMs, state)) next = next.without(entry)
            val tombstone = record.releasedAttempt
            val releasedMs = tombstone?.let(next.tombstones::get)
            if (tombstone != null && releasedMs != null && releasedMs < limitMs) {
                next = next.copy(tombstones = next.tombstones.remove(tombstone))
            }
        }
        return next.withDecision(Decision.SETTLED)
    }

    private fun isExpired(entry: LedgerEntry, limitMs: Long, state: LedgerState): Boolean {
        if (entry.status == LedgerEntry.Status.GRANTED || entry.changedMs >= limitMs) return false
        return invariants.check(Guarantee.AT_MOST_ONCE, entry.changedMs + limits.retentionMs <= state.timeMs) {
            "${entry.key} was about to expire before the end of its retention"
        }
    }
}
