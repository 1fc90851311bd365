package org.arbutusrelay.daemon.ledger

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusrelay.core.error.RelayError
import org.arbutusrelay.schema.message.Attempt
import org.arbutusrelay.schema.message.LedgerFinish
import org.arbutusrelay.schema.message.LedgerGrant
import org.arbutusrelay.schema.message.LedgerKey
import org.arbutusrelay.schema.message.LedgerRelease
import org.arbutusrelay.schema.message.LedgerReply
import org.arbutusrelay.schema.message.LedgerReply.Decision
import org.arbutusrelay.schema.message.StoredResponse

/** A ledger in the memory of one host, without replication or disk; its entries are lost when the process ends. */
public class LocalLedgerClient : LedgerClient {
    private data class Entry(
        val attempt: Attempt,
        val bodyDigest: String,
        val status: Decision,
        val response: StoredResponse? = null,
    )

    private val entries = MutableStateFlow<Map<LedgerKey, Entry>>(emptyMap())

    override suspend fun grant(homeRegion: String, grant: LedgerGrant): Either<RelayError, LedgerReply> {
        val entry = Entry(grant.attempt, grant.bodyDigest, Decision.IN_PROGRESS)
        while (true) {
            val seen = entries.value
            val existing = seen[grant.key]
            if (existing == null) {
                if (!entries.compareAndSet(seen, seen + (grant.key to entry))) continue
                return LedgerReply(0, Decision.GRANTED).right()
            }
            if (existing.bodyDigest != grant.bodyDigest) return LedgerReply(0, Decision.BODY_MISMATCH).right()
            return existing.toReply().right()
        }
    }

    override suspend fun awaitEnd(
        homeRegion: String,
        key: LedgerKey,
        timeoutMs: Long,
    ): Either<RelayError, LedgerReply> {
        val ended = withTimeoutOrNull(timeoutMs) { entries.first { it[key]?.status != Decision.IN_PROGRESS } }
        val entry = (ended ?: entries.value)[key]
        return (entry?.toReply() ?: LedgerReply(0, Decision.ABSENT)).right()
    }

    override fun release(homeRegion: String, release: LedgerRelease): Unit = entries.update { seen ->
        val entry = seen[release.key]
        val isOpen = entry?.attempt == release.attempt && entry.status == Decision.IN_PROGRESS
        if (isOpen) seen - release.key else seen
    }

    override suspend fun finish(homeRegion: String, finish: LedgerFinish, timeoutMs: Long): Boolean {
        change(finish.key, finish.attempt) { it.copy(status = Decision.FINISHED, response = finish.response) }
        return true
    }

    override fun settle(homeRegion: String, key: LedgerKey, attempt: Attempt): Unit = change(key, attempt) {
        if (it.status == Decision.IN_PROGRESS) it.copy(status = Decision.UNKNOWN) else it
    }

    private fun change(key: LedgerKey, attempt: Attempt, update: (Entry) -> Entry) = entries.update { seen ->
        val entry = seen[key]
        if (entry?.attempt == attempt) seen + (key to update(entry)) else seen
    }

    private fun Entry.toReply() = LedgerReply(0, status, response)
}
