package org.arbutusrelay.daemon.consensus

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.LogEntry
import org.arbutusrelay.schema.message.ReplicatedCommand

/** A proposed command and its future result. */
internal class Proposal<R>(val command: ReplicatedCommand) {
    val result = CompletableDeferred<Either<RelayError, R>>()
}

/** Appended proposals whose entries are not applied yet, by log index. Confined to the driver coroutine. */
internal class PendingProposals<R> {
    private val byIndex = HashMap<Long, Pair<Long, Proposal<R>>>()
    val size: Int get() = byIndex.size

    fun add(index: Long, term: Long, proposal: Proposal<R>) {
        byIndex[index] = term to proposal
    }

    /** Completes the proposal at the index of [entry], with [replacedError] if another leader's entry replaced it. */
    fun onApplied(entry: LogEntry, result: R, replacedError: RelayError) {
        val (term, proposal) = byIndex.remove(entry.index) ?: return
        proposal.result.complete(if (term == entry.term) result.right() else replacedError.left())
    }

    fun failAll(error: RelayError) {
        byIndex.values.forEach { (_, proposal) -> proposal.result.complete(error.left()) }
        byIndex.clear()
    }
}
