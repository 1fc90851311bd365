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

/** Identity of a replica with its current term and vote. */
@Serializable
internal data class VoteRecord(val identity: String, val term: Long, val votedFor: String?)

@Serializable
internal class SnapshotRecord(val lastIndex: Long, val lastTerm: Long, val voters: List<String>, val state: ByteArray)

/** Log changes that form one record and are synced together. */
@Serializable
internal data class LogBatch(val changes: List<LogChange>)

/** One log change: the entries from index [truncateFrom] on are removed, or [entry] is appended. */
@Serializable
internal data class LogChange(val truncateFrom: Long? = null, val entry: LogEntry? = null)

@OptIn(ExperimentalSerializationApi::class)
internal val storageCbor: Cbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
}

/** Encodes records as length, checksum of the length, checksum of the payload (CRC-32C, big-endian), payload. */
@OptIn(ExperimentalSerializationApi::class)
internal object RecordFormat {
    const val HEADER_BYTES = 12

    inline fun <reified T> encode(value: T): ByteBuffer {
        val payload = storageCbor.encodeToByteArray(value)
        val buffer = ByteBuffer.allocate(HEADER_BYTES + payload.size)
        buffer.putInt(payload.size).putInt(checksum(buffer.array(), 0, Int.SIZE_BYTES))
        return buffer.putInt(checksum(payload, 0, payload.size)).put(payload).flip()
    }

    /** Decodes a file that contains exactly one record. */
    inline fun <reified T> decodeSingle(path: Path, bytes: ByteArray): T {
        val result = scan(bytes, 0)
        val isSingleRecord = result is ScanResult.Record && result.end == bytes.size
        if (!isSingleRecord) throw corrupt(path, 0, "expected exactly one valid record")
        return decode(path, bytes, 0, bytes.size)
    }

    inline fun <reified T> decode(path: Path, bytes: ByteArray, start: Int, end: Int): T = try {
        storageCbor.decodeFromByteArray(bytes.copyOfRange(start + HEADER_BYTES, end))
    } catch (e: IllegalArgumentException) {
        // Thrown as SerializationException by the decoder, and by the range checks of the generated messages.
        throw corrupt(path, start.toLong(), "invalid record: ${e.message}", e)
    }

    /** Checks the record that starts at [start]. */
    fun scan(bytes: ByteArray, start: Int): ScanResult {
        val remaining = bytes.size - start
        if (remaining < HEADER_BYTES) return ScanResult.Torn
        val header = ByteBuffer.wrap(bytes, start, HEADER_BYTES)
        val length = header.getInt()
        if (header.getInt() != checksum(bytes, start, Int.SIZE_BYTES) || length <= 0) {
            // A crash can leave a file extended but its data unwritten: zeros up to the end. No payload is all zeros.
            val isZeroFilled = (start + HEADER_BYTES until bytes.size).all { bytes[it] == 0.toByte() }
            return if (isZeroFilled) ScanResult.Torn else ScanResult.Corrupt
        }
        if (length > remaining - HEADER_BYTES) return ScanResult.Torn
        val end = start + HEADER_BYTES + length
        if (header.getInt() == checksum(bytes, start + HEADER_BYTES, length)) return ScanResult.Record(end)
        // The next record is written only after this one is synced, so only the last record can be torn.
        return if (end == bytes.size) ScanResult.Torn else ScanResult.Corrupt
    }

    fun corrupt(path: Path, offsetBytes: Long, reason: String, cause: Exception? = null): StorageException =
        StorageException(StorageError.Corrupt(path, offsetBytes, reason), cause)

    fun checksum(bytes: ByteArray, from: Int, length: Int): Int =
        CRC32C().apply { update(bytes, from, length) }.value.toInt()

    sealed interface ScanResult {
        data class Record(val end: Int) : ScanResult

        /** Incomplete after a crash during the last write; nothing from here on was acknowledged. */
        data object Torn : ScanResult

        data object Corrupt : ScanResult
    }
}
