package org.arbutusrelay.core.ledger

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.arbutusrelay.schema.message.LedgerEntry
import org.arbutusrelay.schema.message.LedgerFence
import org.arbutusrelay.schema.message.LedgerRelease

/** Serialized form of a [LedgerState], encoded as CBOR. */
@Serializable
internal class LedgerSnapshot(
    val timeMs: Long,
    val entries: List<LedgerEntry>,
    val tombstones: List<StoredTombstone>,
    val fences: List<LedgerFence>,
) {
    /** A released attempt and the ledger time of its release, in milliseconds. */
    @Serializable
    class StoredTombstone(val release: LedgerRelease, val atMs: Long)

    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private val format = Cbor { alwaysUseByteString = true }

        fun encode(state: LedgerState): ByteArray {
            val tombstones =
                state.tombstones.map { (released, atMs) ->
                    StoredTombstone(LedgerRelease(released.key, released.attempt), atMs)
                }
            return format.encodeToByteArray(
                LedgerSnapshot(state.timeMs, state.entries.values.toList(), tombstones, state.fences.values.toList()),
            )
        }

        fun decode(bytes: ByteArray): LedgerState {
            val snapshot = format.decodeFromByteArray<LedgerSnapshot>(bytes)
            return LedgerState(
                timeMs = snapshot.timeMs,
                entries = snapshot.entries.associateBy { it.key }.toPersistentHashMap(),
                openGrants =
                snapshot.entries
                    .filter { it.status == LedgerEntry.Status.GRANTED }
                    .associateBy { it.key }
                    .toPersistentHashMap(),
                tombstones =
                snapshot.tombstones
                    .associate { ReleasedAttempt(it.release.key, it.release.attempt) to it.atMs }
                    .toPersistentHashMap(),
                fences = snapshot.fences.associateBy { it.caller }.toPersistentHashMap(),
                storedBytes = snapshot.entries.sumOf { it.response?.body?.size?.toLong() ?: 0 },
            )
        }
    }
}
