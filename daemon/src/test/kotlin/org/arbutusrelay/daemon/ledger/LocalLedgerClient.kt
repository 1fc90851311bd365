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

/** In-memory ledger of one host, without replication or disk; its entries are lost when the process ends. */
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
            val current = entries.value
            val existing = current[grant.key]
            if (existing == null) {
                if (!entries.compareAndSet(current, current + (grant.key to entry))) continue
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

    override fun release(homeRegion: String, release: LedgerRelease): Unit = entries.update { current ->
        val entry = current[release.key]
        val isOpen = entry?.attempt == release.attempt && entry.status == Decision.IN_PROGRESS
        if (isOpen) current - release.key else current
    }

    override suspend fun finish(homeRegion: String, finish: LedgerFinish, timeoutMs: Long): Boolean {
        updateOwned(finish.key, finish.attempt) { it.copy(status = Decision.FINISHED, response = finish.response) }
        return true
    }

    override fun settle(homeRegion: String, key: LedgerKey, attempt: Attempt): Unit = updateOwned(key, attempt) {
        if (it.status == Decision.IN_PROGRESS) it.copy(status = Decision.UNKNOWN) else it
    }

    private fun updateOwned(key: LedgerKey, attempt: Attempt, update: (Entry) -> Entry) = entries.update { current ->
        val entry = current[key]
        if (entry?.attempt == attempt) current + (key to update(entry)) else current
    }

    private fun Entry.toReply() = LedgerReply(0, status, response)
}
