package org.arbutusrelay.daemon.storage

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.arbutusrelay.schema.message.LogEntry
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.zip.CRC32C

/** Term, vote and identity. */
@Serializable
internal data class VoteRecord(val identity: String, val term: Long, val votedFor: String?)

@Serializable
internal class SnapshotRecord(val lastIndex: Long, val lastTerm: Long, val voters: List<String>, val state: ByteArray)

/** Changes of the log that were synced together. */
@Serializable
internal data class LogBatch(val changes: List<LogChange>)

/** One change: entries from [truncateFrom] on are removed, or [entry] is appended. */
@Serializable
internal data class LogChange(val truncateFrom: Long? = null, val entry: LogEntry? = null)

@OptIn(ExperimentalSerializationApi::class)
internal val storageCbor: Cbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
}

/** Frames records as length, checksum of the length, checksum of the payload (CRC-32C, big-endian), payload. */
@OptIn(ExperimentalSerializationApi::class)
internal object RecordFormat {
    const val HEADER_BYTES = 12

    inline fun <reified T> encode(value: T): ByteBuffer {
        val payload = storageCbor.encodeToByteArray(value)
        val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
        buffer.putInt(payload.size).putInt(checksum(buffer.array(), 0, Int.SIZE_BYTES))
        return buffer.putInt(checksum(payload, 0, payload.size)).put(payload).flip()
    }

    /** Reads a file that holds exactly one record. */
    inline fun <reified T> decodeOnly(path: Path, bytes: ByteArray): T {
        val found = find(bytes, 0)
        val isWhole = found is Found.Record && found.end == bytes.size
        if (!isWhole) throw corrupt(path, 0, "not one valid record")
        return decode(path, bytes, 0, bytes.size)
    }

    inline fun <reified T> decode(path: Path, bytes: ByteArray, start: Int, end: Int): T = try {
        storageCbor.decodeFromByteArray(bytes.copyOfRange(start + HEADER_BYTES, end))
    } catch (e: IllegalArgumentException) {
        // Covers SerializationException and the bounds that the generated messages check.
        throw corrupt(path, start.toLong(), "invalid record: ${e.message}", e)
    }

    /** Looks at the record that starts at [start]. */
    fun find(bytes: ByteArray, start: Int): Found {
        val remaining = bytes.size - start
        if (remaining < HEADER_BYTES) return Found.Torn
        val header = ByteBuffer.wrap(bytes, start, HEADER_BYTES)
        val length = header.getInt()
        if (header.getInt() != checksum(bytes, start, Int.SIZE_BYTES) || length <= 0) {
            // A file may grow before its data arrives, which leaves zeros up to its end. No payload is all zeros.
            val isBlank = (start + HEADER_BYTES until bytes.size).all { bytes[it] == 0.toByte() }
            return if (isBlank) Found.Torn else Found.Damaged
        }
        if (length > remaining - HEADER_BYTES) return Found.Torn
        val end = start + HEADER_BYTES + length
        if (header.getInt() == checksum(bytes, start + HEADER_BYTES, length)) return Found.Record(end)
        // The next record is written only after a sync of this one, so only the last record can be torn.
        return if (end == bytes.size) Found.Torn else Found.Damaged
    }

    fun corrupt(path: Path, offsetBytes: Long, reason: String, cause: Exception? = null): StorageException =
        StorageException(StorageError.Corrupt(path, offsetBytes, reason), cause)

    fun checksum(bytes: ByteArray, from: Int, length: Int): Int =
        CRC32C().apply { update(bytes, from, length) }.value.toInt()

    sealed interface Found {
        data class Record(val end: Int) : Found

        /** Cut off by a crash during the last write; nothing after it was ever acknowledged. */
        data object Torn : Found

        data object Damaged : Found
    }
}
