package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand

/** A command on its way into the log. */
internal class Proposal<R>(val command: ReplicatedCommand) {
    val result = CompletableDeferred<Either<RelayError, R>>()
}

/** Proposals that were appended here and wait until their entry is applied. Used by the decision thread only. */
internal class PendingProposals<R> {
    private val byIndex = HashMap<Long, Pair<Long, Proposal<R>>>()
    val size: Int get() = byIndex.size

    fun add(index: Long, term: Long, proposal: Proposal<R>) {
        byIndex[index] = term to proposal
    }

    /** Completes the proposal at the index of [entry]; with [lost] when another leader's entry took its place. */
    fun onApplied(entry: LogEntry, result: R, lost: RelayError) {
        val (term, proposal) = byIndex.remove(entry.index) ?: return
        proposal.result.complete(if (term == entry.term) result.right() else lost.left())
    }

    fun failAll(error: RelayError) {
        byIndex.values.forEach { (_, proposal) -> proposal.result.complete(error.left()) }
        byIndex.clear()
    }
}
