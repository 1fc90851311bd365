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
    private val byIndex = HashMap<Long, Appended<R>>()
    val size: Int get() = byIndex.size

    /** Size of the pending commands in bytes. */
    var sizeBytes: Long = 0
        private set

    fun add(index: Long, term: Long, proposal: Proposal<R>, bytes: Int) {
        byIndex[index] = Appended(term, proposal, bytes)
        sizeBytes += bytes
    }

    /** Completes the proposal at the index of [entry], with [replacedError] if another leader's entry replaced it. */
    fun onApplied(entry: LogEntry, result: R, replacedError: RelayError) {
        val appended = byIndex.remove(entry.index) ?: return
        sizeBytes -= appended.bytes
        appended.proposal.result.complete(if (appended.term == entry.term) result.right() else replacedError.left())
    }

    fun failAll(error: RelayError) {
        byIndex.values.forEach { it.proposal.result.complete(error.left()) }
        byIndex.clear()
        sizeBytes = 0
    }

    private class Appended<R>(val term: Long, val proposal: Proposal<R>, val bytes: Int)
}
